// Package standin implements the commands that run stand-ins of the system's
// environment: fabric, platform, targets and callers.
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
	// listInterval is how often the fabric reads the list of hosts.
	listInterval = 200 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// CountsPath is the path at which stand-ins of targets serve their counts.
const CountsPath = "/v1/counts"

// Main runs the command that args select and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := kingpin.New("cactuspin-standin", "Stand-ins of fabric, platform, targets and callers, for tests and the demo.")
	commands := map[string]func(context.Context) error{}
	add := func(c *kingpin.CmdClause, run func(context.Context) error) { commands[c.FullCommand()] = run }
	add(platformCommand(a))
	add(listCommand(a))
	add(faultsCommand(a))
	add(fabricCommand(a))
	add(targetCommand(a))
	add(callCommand(a, out))
	add(packetsCommand(a, out))
	add(matrixCommand(a, out))
	add(floodsCommand(a, out))
	add(balanceCommand(a, out))
	add(endsCommand(a, out))
	add(reportCommand(a, out))
	a.UsageWriter(out)
	name, done, err := parser.Parse(a, args)
	if done {
		return 0
	}
	if err == nil && commands[name] != nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		err = commands[name](ctx)
	}
	if err != nil {
		_, _ = io.WriteString(errOut, "cactuspin-standin: "+err.Error()+"\n")
		return 1
	}
	return 0
}

func platformCommand(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("platform", "Run a key-value store with compare-and-swap and watches, and serve the list of hosts.")
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

func listCommand(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("list", "Replace the platform's list of hosts and targets.")
	endpoint := c.Flag("platform", "Base URL of the platform.").Required().String()
	file := c.Arg("file", "JSON file with the list.").Required().String()
	return c, func(ctx context.Context) error {
		data, err := os.ReadFile(*file)
		if err != nil {
			return errors.Wrap(err, "read list")
		}
		var l cactuspin.HostList
		if err := json.Unmarshal(data, &l); err != nil {
			return errors.Wrap(err, "read list")
		}
		return platformclient.NewClient(platformclient.Config{Endpoint: *endpoint}).SetHostList(ctx, l)
	}
}

func faultsCommand(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("faults", "Set the simulated faults of the platform from a JSON argument.")
	endpoint := c.Flag("platform", "Base URL of the platform.").Required().String()
	text := c.Arg("json", "Faults, for instance {\"down\":true}.").Required().String()
	return c, func(ctx context.Context) error { return post(ctx, *endpoint+kvserver.FaultPath, *text) }
}

func fabricCommand(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("fabric", "Distribute callers' datagrams over the hosts at random, and return the answers.")
	listen := c.Flag("listen", "IP:port where hosts send answers.").Required().String()
	services := c.Flag("service", "IP:port of a service; can be repeated.").Required().Strings()
	endpoint := c.Flag("platform", "Base URL of the platform, which has the list of hosts.").Required().String()
	cfg := distributor.Config{}
	c.Flag("seed", "Seed of the random choices.").Default("1").Uint64Var(&cfg.Seed)
	c.Flag("delay", "Delay of each datagram.").DurationVar(&cfg.Delay)
	c.Flag("jitter", "Largest additional random delay, which reorders datagrams.").DurationVar(&cfg.Jitter)
	c.Flag("loss", "Fraction of the datagrams that is lost.").Float64Var(&cfg.Loss)
	c.Flag("double", "Fraction of the datagrams that is duplicated.").Float64Var(&cfg.Duplication)
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
		d, err := distributor.New(cfg)
		if err != nil {
			return err
		}
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return d.Run(ctx) })
		g.Go(func() error { return followHostList(ctx, *endpoint, d) })
		return g.Wait()
	}
}

// followHostList updates the fabric's hosts from the platform's list until the
// context ends. Leaving hosts are omitted.
func followHostList(ctx context.Context, endpoint string, d *distributor.Distributor) error {
	client := platformclient.NewClient(platformclient.Config{Endpoint: endpoint, HTTP: &http.Client{Timeout: callTimeout}})
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		if l, err := client.HostList(ctx, 0, 0); err == nil {
			var hosts []netip.AddrPort
			for _, h := range l.Hosts {
				if a, err := netip.ParseAddrPort(h.Fabric); err == nil && h.State != cactuspin.StateLeaving {
					hosts = append(hosts, a)
				}
			}
			d.SetHosts(hosts)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func targetCommand(a *kingpin.Application) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("target", "Run one or more targets of a service.")
	listen := c.Flag("listen", "IP:port of a target; can be repeated.").Required().Strings()
	counts := c.Flag("counts", "IP:port where the counts are served.").Required().String()
	cfg := responder.Config{}
	c.Flag("service", "Name of the service.").Required().StringVar(&cfg.Service)
	c.Flag("slots", "Number of requests that run concurrently.").Default("3").IntVar(&cfg.Slots)
	c.Flag("work", "Duration of a request.").Default("10ms").DurationVar(&cfg.ServiceTime)
	c.Flag("cold", "Duration of the cold start.").DurationVar(&cfg.ColdPeriod)
	c.Flag("content", "Size of a diagram in bytes.").Default("2000").IntVar(&cfg.ContentSize)
	c.Flag("feed-period", "Time between two states of a feed.").Default("1s").DurationVar(&cfg.FeedPeriod)
	return c, func(ctx context.Context) error {
		var responders []*responder.Responder
		g, ctx := errgroup.WithContext(ctx)
		for _, l := range *listen {
			address, err := netip.ParseAddrPort(l)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			targetConfig := cfg
			targetConfig.Address = address
			r := responder.New(targetConfig)
			responders = append(responders, r)
			g.Go(func() error { return r.Run(ctx) })
		}
		g.Go(func() error { return serve(ctx, *counts, countsHandler(responders)) })
		return g.Wait()
	}
}

func countsHandler(responders []*responder.Responder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) {
		counts := make([]responder.Counts, 0, len(responders))
		for _, r := range responders {
			counts = append(counts, r.Counts())
		}
		_ = json.NewEncoder(w).Encode(counts)
	})
	return mux
}

func callCommand(a *kingpin.Application, out io.Writer) (*kingpin.CmdClause, func(context.Context) error) {
	c := a.Command("call", "Generate load and report what callers and targets observed.")
	cfg := loadgenerator.Config{}
	orders := c.Flag("orders", "IP:port of the service for orders and feeds.").Required().String()
	diagrams := c.Flag("diagrams", "IP:port of the service for diagrams.").Required().String()
	counts := c.Flag("counts", "IP:port of a target's counts; can be repeated.").Strings()
	c.Flag("order-service", "Name of the service for orders.").Required().StringVar(&cfg.OrderService)
	c.Flag("diagram-service", "Name of the service for diagrams.").Required().StringVar(&cfg.DiagramService)
	c.Flag("order-rate", "Orders per second.").Default("50").Float64Var(&cfg.OrderRate)
	c.Flag("diagram-rate", "Diagrams per second.").Default("20").Float64Var(&cfg.DiagramRate)
	c.Flag("feeds", "Number of feeds.").Default("100").IntVar(&cfg.Feeds)
	c.Flag("flows", "Number of callers that send orders and fetch diagrams.").Default("20").IntVar(&cfg.Flows)
	c.Flag("duration", "Duration of the load.").Default("10s").DurationVar(&cfg.Duration)
	c.Flag("new-flows", "Open a new flow for each order.").BoolVar(&cfg.NewFlows)
	c.Flag("run", "Prefix of order IDs.").Default("run").StringVar(&cfg.RunID)
	c.Flag("content", "Size of a diagram in bytes.").Default("2000").IntVar(&cfg.ContentSize)
	return c, func(ctx context.Context) (err error) {
		if cfg.OrderAddress, err = netip.ParseAddrPort(*orders); err != nil {
			return errors.Wrap(err, "orders")
		}
		if cfg.DiagramAddress, err = netip.ParseAddrPort(*diagrams); err != nil {
			return errors.Wrap(err, "diagrams")
		}
		cfg.SampleFeeds = func() []int { return feedsPerTarget(ctx, *counts, cfg.OrderService) }
		generator := loadgenerator.New(cfg)
		if err := generator.Run(ctx); err != nil {
			return err
		}
		targetCounts, err := readCounts(ctx, *counts)
		if err != nil {
			return err
		}
		report := generator.Evaluate(targetCounts)
		if err := report.Print(out); err != nil {
			return err
		}
		if !report.Passed() {
			return errors.New("a guarantee was violated")
		}
		return nil
	}
}

// readCounts reads the counts of the targets at the addresses.
func readCounts(ctx context.Context, addresses []string) (counts []responder.Counts, err error) {
	for _, address := range addresses {
		var cs []responder.Counts
		if err := get(ctx, "http://"+address+CountsPath, &cs); err != nil {
			return nil, err
		}
		counts = append(counts, cs...)
	}
	return counts, nil
}

// feedsPerTarget returns the number of feeds at each target of a service.
func feedsPerTarget(ctx context.Context, addresses []string, service string) (feeds []int) {
	counts, err := readCounts(ctx, addresses)
	if err != nil {
		return nil
	}
	for _, c := range counts {
		if c.Service == service {
			feeds = append(feeds, c.Feeds)
		}
	}
	return feeds
}
