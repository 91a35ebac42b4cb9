package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/host/engine"
	"github.com/cactuspin/cactuspin/internal/server/administrator"
)

// hostStatus is what one host said, or that it said nothing.
type hostStatus struct {
	Listed cactuspin.ListedHost  `json:"listed"`
	Known  bool                  `json:"known"`
	Status *administrator.Status `json:"status,omitempty"`
}

// statusCommand shows which version is in force in each zone.
type statusCommand struct {
	platform string
	listFile string
	output   string
	watch    bool
}

func (k *statusCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("status", "Show for each zone which bundle is in force, and where that is not known.")
	c.Flag("platform", "Base address of the platform.").StringVar(&k.platform)
	c.Flag("list-file", "File with the list of hosts, for when the platform is away.").StringVar(&k.listFile)
	c.Flag("output", "Format: text or json.").Default("text").EnumVar(&k.output, "text", "json")
	c.Flag("watch", "Show again every two seconds.").BoolVar(&k.watch)
	return c
}

func (k *statusCommand) run(ctx context.Context, c console) error {
	const watchPeriod = 2 * time.Second
	for {
		l, err := readList(ctx, k.platform, k.listFile)
		if err != nil {
			return err
		}
		all := ask(ctx, l)
		if k.output == "json" {
			err = json.NewEncoder(c.out).Encode(all)
		} else {
			err = printZones(c, all)
		}
		if err != nil || !k.watch {
			return err
		}
		time.Sleep(watchPeriod)
	}
}

func readList(ctx context.Context, platform, file string) (l cactuspin.HostList, err error) {
	defer func() { err = errors.Wrap(err, "read list of hosts") }()
	if file == "" {
		return newClient(platform).HostList(ctx, 0, 0)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return l, errors.WithStack(err)
	}
	return l, errors.WithStack(json.Unmarshal(b, &l))
}

// ask asks all hosts at once.
func ask(ctx context.Context, l cactuspin.HostList) []hostStatus {
	all := make([]hostStatus, len(l.Hosts))
	done := make(chan struct{})
	for i, h := range l.Hosts {
		go func() {
			defer func() { done <- struct{}{} }()
			all[i].Listed = h
			var s administrator.Status
			if err := get(ctx, "http://"+h.Operators+administrator.StatusPath, &s); err == nil {
				all[i].Known = true
				all[i].Status = &s
			}
		}()
	}
	for range l.Hosts {
		<-done
	}
	return all
}

func get(ctx context.Context, address string, out any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(r)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("host answered %s", resp.Status)
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

func inForce(all []hostStatus, v cactuspin.BundleVersion) bool {
	return !slices.ContainsFunc(all, func(h hostStatus) bool { return !h.Known || h.Status.Version < v })
}

// printZones prints one line a zone.
func printZones(c console, all []hostStatus) error {
	zones := make(map[cactuspin.ZoneID]map[string][]string)
	var order []cactuspin.ZoneID
	for _, h := range all {
		z := h.Listed.Zone
		if zones[z] == nil {
			zones[z] = make(map[string][]string)
			order = append(order, z)
		}
		version := "not known"
		if h.Known {
			version = fmt.Sprintf("version %d", h.Status.Version)
		}
		zones[z][version] = append(zones[z][version], h.Listed.ID.String())
	}
	slices.Sort(order)
	for _, z := range order {
		var parts []string
		for version, hosts := range zones[z] {
			parts = append(parts, fmt.Sprintf("%s on hosts %s", version, strings.Join(hosts, " ")))
		}
		slices.Sort(parts)
		if _, err := fmt.Fprintf(c.out, "%s: %s\n", z, strings.Join(parts, ", ")); err != nil {
			return err
		}
	}
	return nil
}

// explainCommand asks a host where a flow would go.
type explainCommand struct{ host, caller, service, method, path string }

func (k *explainCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("explain", "Ask a host where a new flow would go now, and under which bundle.")
	c.Flag("host", "IP:port of a host's admin address.").Required().StringVar(&k.host)
	c.Flag("caller", "IP:port of the caller.").Required().StringVar(&k.caller)
	c.Flag("service", "IP:port of the service.").Required().StringVar(&k.service)
	c.Flag("method", "Method of the request.").Default("GET").StringVar(&k.method)
	c.Flag("path", "Path of the request.").Default("/").StringVar(&k.path)
	return c
}

func (k *explainCommand) run(ctx context.Context, c console) error {
	q := url.Values{"caller": {k.caller}, "service": {k.service}, "method": {k.method}, "path": {k.path}}
	var x engine.Explanation
	if err := get(ctx, "http://"+k.host+administrator.ExplainPath+"?"+q.Encode(), &x); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "bundle %d\nservice %s\nkind %s\nzone %s\nhost %s\ntargets %v\nbecause: %s\n",
		x.Version, x.Service, x.Kind, x.Zone, x.Host, x.Targets, x.Reason)
	return err
}
