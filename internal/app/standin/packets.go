package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin/internal/standin/netemulator"
)

// readyLimit is how long all hosts of a site may take to start.
const readyLimit = 15 * time.Second

// packets plays a site of the packet path on loopback addresses. The hosts are
// started by whoever runs it, with the settings files that it writes.
func packets(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("packets", "Store, routers, targets and callers of the packet path; writes settings for the hosts.")
	var p netemulator.Config
	var store string
	c.Flag("zones", "Availability zones.").Default("3").IntVar(&p.Zones)
	c.Flag("hosts", "Entry hosts in each zone.").Default("2").IntVar(&p.HostsPerZone)
	c.Flag("targets", "Targets of the desk in each zone; the shelf has one.").Default("4").IntVar(&p.TargetsPerZone)
	c.Flag("callers", "Callers in each zone.").Default("30").IntVar(&p.CallersPerZone)
	c.Flag("length", "How long callers ask.").Default("12s").DurationVar(&p.Length)
	c.Flag("store", "IP:port of the store.").Default("127.100.0.1:8169").StringVar(&store)
	c.Arg("directory", "Where settings files go.").Required().ExistingDirVar(&p.Directory)
	return c, func(ctx context.Context) (err error) {
		defer func() { err = errors.Wrap(err, "packets") }()
		if p.StoreAddress, err = netip.ParseAddrPort(store); err != nil {
			return errors.WithStack(err)
		}
		s, err := netemulator.New(p)
		if err != nil {
			return err
		}
		if !s.WaitReady(ctx, readyLimit) {
			return errors.New("hosts are not ready")
		}
		r := s.Run(ctx)
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return errors.WithStack(err)
		}
		if r.BrokenFlows+r.DoubledRuns+r.WrongService+r.LateFlows+r.Failed > 0 || r.Served == 0 {
			return errors.New("a promise was broken")
		}
		return nil
	}
}
