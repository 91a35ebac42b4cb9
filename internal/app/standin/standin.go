// Package standin wires the stand-ins of what is outside the system: fabric,
// platform, targets and callers.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/app/parser"
	"github.com/cactuspin/cactuspin/internal/server/platformclient"
	"github.com/cactuspin/cactuspin/internal/standin/distributor"
	"github.com/cactuspin/cactuspin/internal/standin/kvserver"
	"github.com/cactuspin/cactuspin/internal/standin/loadgenerator"
	"github.com/cactuspin/cactuspin/internal/standin/responder"
)

const (
	headerTimeout = 5 * time.Second
	// listPeriod is how often the fabric reads the list of hosts.
	listPeriod = 200 * time.Millisecond
	callLimit  = 2 * time.Second
)

// CountsPath is where a target stand-in tells what it saw.
const CountsPath = "/v1/counts"

// Main runs one stand-in and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	a := kingpin.New("cactuspin-standin", "Stand-ins of fabric, platform, targets and callers, for tests and the demo.")
	runs := map[string]func(context.Context) error{}
	add := func(c *kingpin.CmdClause, run func(context.Context) error) { runs[c.FullCommand()] = run }
	add(platform(a))
	add(list(a))
	add(faults(a))
	add(fabric(a))
	add(target(a))
	add(call(a, out))
	add(packets(a, out))
	add(matrix(a, out))
	add(floods(a, out))
	add(balance(a, out))
	add(ends(a, out))
	add(report(a, out))
	a.UsageWriter(out)
	name, done, err := parser.Parse(a, args)
	if done {
		return 0
	}
	if err == nil && runs[name] != nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		err = runs[name](ctx)
	}
	if err != nil {
		_, _ = io.WriteString(errs, "cactuspin-standin: "+err.Error()+"\n")
		return 1
	}
	return 0
}

func platform(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("platform", "Key-value service with compare-and-swap and watches, and list of hosts.")
	address := c.Flag("listen", "IP:port to listen on.").Required().String()
	return c, func(ctx context.Context) error { return serve(ctx, *address, kvserver.New()) }
}

// serve serves HTTP until the context ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func list(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("list", "Replace the platform's list of hosts and targets.")
	endpoint := c.Flag("platform", "Base address of the platform.").Required().String()
	file := c.Arg("file", "JSON file with the list.").Required().String()
	return c, func(ctx context.Context) error {
		b, err := os.ReadFile(*file)
		if err != nil {
			return errors.Wrap(err, "read list")
		}
		var l cactuspin.HostList
		if err := json.Unmarshal(b, &l); err != nil {
			return errors.Wrap(err, "read list")
		}
		return platformclient.NewClient(platformclient.Config{Endpoint: *endpoint}).SetList(ctx, l)
	}
}

func faults(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("faults", "Switch faults of the platform on or off; JSON from the argument.")
	endpoint := c.Flag("platform", "Base address of the platform.").Required().String()
	text := c.Arg("json", "Faults, for instance {\"down\":true}.").Required().String()
	return c, func(ctx context.Context) error { return post(ctx, *endpoint+kvserver.FaultPath, *text) }
}

func fabric(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("fabric", "Hand callers' datagrams to any host, and answers back.")
	listen := c.Flag("listen", "IP:port where hosts send answers.").Required().String()
	services := c.Flag("service", "IP:port of a service; can be repeated.").Required().Strings()
	endpoint := c.Flag("platform", "Platform with the list of hosts.").Required().String()
	cfg := distributor.Config{}
	c.Flag("seed", "Seed of the choices.").Default("1").Uint64Var(&cfg.Seed)
	c.Flag("delay", "Delay of each datagram.").DurationVar(&cfg.Delay)
	c.Flag("jitter", "Largest further delay; reorders.").DurationVar(&cfg.Jitter)
	c.Flag("loss", "Part of the datagrams that is lost.").Float64Var(&cfg.Loss)
	c.Flag("double", "Part of the datagrams that is doubled.").Float64Var(&cfg.Duplication)
	return c, func(ctx context.Context) (err error) {
		if cfg.Listen, err = netip.ParseAddrPort(*listen); err != nil {
			return errors.Wrap(err, "listen")
		}
		for _, s := range *services {
			address, err := netip.ParseAddrPort(s)
			if err != nil {
				return errors.Wrap(err, "service")
			}
			cfg.Services = append(cfg.Services, address)
		}
		s, err := distributor.New(cfg)
		if err != nil {
			return err
		}
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return s.Run(ctx) })
		g.Go(func() error { return follow(ctx, *endpoint, s) })
		return g.Wait()
	}
}

// follow gives the fabric the hosts on the platform's list.
func follow(ctx context.Context, endpoint string, s *distributor.Distributor) error {
	client := platformclient.NewClient(platformclient.Config{Endpoint: endpoint, HTTP: &http.Client{Timeout: callLimit}})
	t := time.NewTicker(listPeriod)
	defer t.Stop()
	for {
		if l, err := client.List(ctx, 0, 0); err == nil {
			var hosts []netip.AddrPort
			for _, h := range l.Hosts {
				if a, err := netip.ParseAddrPort(h.Fabric); err == nil && h.State != cactuspin.StateLeaving {
					hosts = append(hosts, a)
				}
			}
			s.SetHosts(hosts)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func target(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("target", "One or more targets of a service.")
	listen := c.Flag("listen", "IP:port of a target; can be repeated.").Required().Strings()
	counts := c.Flag("counts", "IP:port where the counts are served.").Required().String()
	cfg := responder.Config{}
	c.Flag("service", "Name of the service.").Required().StringVar(&cfg.Service)
	c.Flag("slots", "Requests that run at once.").Default("3").IntVar(&cfg.Slots)
	c.Flag("work", "Time that a request takes.").Default("10ms").DurationVar(&cfg.ServiceTime)
	c.Flag("cold", "Time of the cold start.").DurationVar(&cfg.ColdPeriod)
	c.Flag("content", "Bytes of a diagram.").Default("2000").IntVar(&cfg.ContentSize)
	c.Flag("feed-period", "Time between two states of a feed.").Default("1s").DurationVar(&cfg.FeedPeriod)
	return c, func(ctx context.Context) error {
		var all []*responder.Responder
		g, ctx := errgroup.WithContext(ctx)
		for _, l := range *listen {
			address, err := netip.ParseAddrPort(l)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			one := cfg
			one.Address = address
			r := responder.New(one)
			all = append(all, r)
			g.Go(func() error { return r.Run(ctx) })
		}
		g.Go(func() error { return serve(ctx, *counts, countsHandler(all)) })
		return g.Wait()
	}
}

func countsHandler(all []*responder.Responder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) {
		cs := make([]responder.Counts, 0, len(all))
		for _, r := range all {
			cs = append(cs, r.Counts())
		}
		_ = json.NewEncoder(w).Encode(cs)
	})
	return mux
}

func call(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("call", "Make load and report what callers and targets saw.")
	cfg := loadgenerator.Config{}
	orders := c.Flag("orders", "IP:port of the service for orders and feeds.").Required().String()
	diagrams := c.Flag("diagrams", "IP:port of the service for diagrams.").Required().String()
	counts := c.Flag("counts", "IP:port of a target's counts; can be repeated.").Strings()
	c.Flag("order-service", "Name of the service for orders.").Required().StringVar(&cfg.OrderService)
	c.Flag("diagram-service", "Name of the service for diagrams.").Required().StringVar(&cfg.DiagramService)
	c.Flag("order-rate", "Orders a second.").Default("50").Float64Var(&cfg.OrderRate)
	c.Flag("diagram-rate", "Diagrams a second.").Default("20").Float64Var(&cfg.DiagramRate)
	c.Flag("feeds", "Number of feeds.").Default("100").IntVar(&cfg.Feeds)
	c.Flag("flows", "Number of callers that order and fetch.").Default("20").IntVar(&cfg.Flows)
	c.Flag("duration", "Time of the load.").Default("10s").DurationVar(&cfg.Duration)
	c.Flag("new-flows", "Let each order open a flow of its own.").BoolVar(&cfg.NewFlows)
	c.Flag("run", "Prefix of the IDs of orders.").Default("run").StringVar(&cfg.RunID)
	c.Flag("content", "Bytes of a diagram.").Default("2000").IntVar(&cfg.ContentSize)
	return c, func(ctx context.Context) (err error) {
		if cfg.OrderAddress, err = netip.ParseAddrPort(*orders); err != nil {
			return errors.Wrap(err, "orders")
		}
		if cfg.DiagramAddress, err = netip.ParseAddrPort(*diagrams); err != nil {
			return errors.Wrap(err, "diagrams")
		}
		cfg.SampleFeeds = func() []int { return heldFeeds(ctx, *counts, cfg.OrderService) }
		l := loadgenerator.New(cfg)
		if err := l.Run(ctx); err != nil {
			return err
		}
		seen, err := readCounts(ctx, *counts)
		if err != nil {
			return err
		}
		report := l.Evaluate(seen)
		if err := report.Print(out); err != nil {
			return err
		}
		if !report.Passed() {
			return errors.New("a promise was broken")
		}
		return nil
	}
}

// readCounts asks the targets what they saw.
func readCounts(ctx context.Context, addresses []string) (seen []responder.Counts, err error) {
	for _, address := range addresses {
		var cs []responder.Counts
		if err := get(ctx, "http://"+address+CountsPath, &cs); err != nil {
			return nil, err
		}
		seen = append(seen, cs...)
	}
	return seen, nil
}

// heldFeeds returns the number of feeds at each target of a service.
func heldFeeds(ctx context.Context, addresses []string, service string) (held []int) {
	seen, err := readCounts(ctx, addresses)
	if err != nil {
		return nil
	}
	for _, c := range seen {
		if c.Service == service {
			held = append(held, c.Feeds)
		}
	}
	return held
}
