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

// readyTimeout limits how long the hosts of a testbed take to become ready.
const readyTimeout = 15 * time.Second

// packetsCommand emulates a testbed of the packet path on loopback addresses. It writes
// the settings files of the hosts, which are started separately.
func packetsCommand(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("packets", "Run the store, routers, targets and callers of the packet path, and write settings files for the hosts.")
	var cfg netemulator.Config
	var store string
	c.Flag("zones", "Number of availability zones.").Default("3").IntVar(&cfg.Zones)
	c.Flag("hosts", "Entry hosts in each zone.").Default("2").IntVar(&cfg.HostsPerZone)
	c.Flag("targets", "Targets of the service desk in each zone; the service shelf has one.").Default("4").IntVar(&cfg.TargetsPerZone)
	c.Flag("callers", "Callers in each zone.").Default("30").IntVar(&cfg.CallersPerZone)
	c.Flag("length", "How long callers send requests.").Default("12s").DurationVar(&cfg.Length)
	c.Flag("store", "IP:port of the store.").Default("127.100.0.1:8169").StringVar(&store)
	c.Arg("directory", "Directory for the settings files.").Required().ExistingDirVar(&cfg.Directory)
	return c, func(ctx context.Context) (err error) {
		defer func() { err = errors.Wrap(err, "packets") }()
		if cfg.StoreAddress, err = netip.ParseAddrPort(store); err != nil {
			return errors.WithStack(err)
		}
		testbed, err := netemulator.New(cfg)
		if err != nil {
			return err
		}
		if !testbed.WaitReady(ctx, readyTimeout) {
			return errors.New("hosts are not ready")
		}
		report := testbed.Run(ctx)
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return errors.WithStack(err)
		}
		if report.BrokenFlows+report.DoubledRuns+report.WrongService+report.LateFlows+report.Failed > 0 || report.Served == 0 {
			return errors.New("a guarantee was violated")
		}
		return nil
	}
}
