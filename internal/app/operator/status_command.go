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

// hostStatus is the status of a listed host. Known is false if the host did not
// answer.
type hostStatus struct {
	Listed cactuspin.ListedHost  `json:"listed"`
	Known  bool                  `json:"known"`
	Status *administrator.Status `json:"status,omitempty"`
}

// statusCommand shows which bundle version is in force in each zone.
type statusCommand struct {
	platform string
	listFile string
	output   string
	watch    bool
}

func (k *statusCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("status", "Show which bundle is in force in each zone, and on which hosts that is unknown.")
	c.Flag("platform", "Base URL of the platform.").StringVar(&k.platform)
	c.Flag("list-file", "File with the list of hosts, for when the platform is unavailable.").StringVar(&k.listFile)
	c.Flag("output", "Format: text or json.").Default("text").EnumVar(&k.output, "text", "json")
	c.Flag("watch", "Repeat every two seconds.").BoolVar(&k.watch)
	return c
}

func (k *statusCommand) run(ctx context.Context, c console) error {
	const watchInterval = 2 * time.Second
	for {
		l, err := readList(ctx, k.platform, k.listFile)
		if err != nil {
			return err
		}
		statuses := queryHosts(ctx, l)
		if k.output == "json" {
			err = json.NewEncoder(c.out).Encode(statuses)
		} else {
			err = printZones(c, statuses)
		}
		if err != nil || !k.watch {
			return err
		}
		time.Sleep(watchInterval)
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

// queryHosts requests the status of all hosts concurrently.
func queryHosts(ctx context.Context, l cactuspin.HostList) []hostStatus {
	statuses := make([]hostStatus, len(l.Hosts))
	done := make(chan struct{})
	for i, h := range l.Hosts {
		go func() {
			defer func() { done <- struct{}{} }()
			statuses[i].Listed = h
			var s administrator.Status
			if err := get(ctx, "http://"+h.Operators+administrator.StatusPath, &s); err == nil {
				statuses[i].Known = true
				statuses[i].Status = &s
			}
		}()
	}
	for range l.Hosts {
		<-done
	}
	return statuses
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

func inForce(statuses []hostStatus, v cactuspin.BundleVersion) bool {
	return !slices.ContainsFunc(statuses, func(h hostStatus) bool { return !h.Known || h.Status.Version < v })
}

// printZones prints one line per zone.
func printZones(c console, statuses []hostStatus) error {
	zones := make(map[cactuspin.ZoneID]map[string][]string)
	var order []cactuspin.ZoneID
	for _, h := range statuses {
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

// explainCommand asks a host where it would place a flow.
type explainCommand struct{ host, caller, service, method, path string }

func (k *explainCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("explain", "Ask a host where it would place a new flow now, and under which bundle.")
	c.Flag("host", "IP:port of a host's admin address.").Required().StringVar(&k.host)
	c.Flag("caller", "IP:port of the caller.").Required().StringVar(&k.caller)
	c.Flag("service", "IP:port of the service.").Required().StringVar(&k.service)
	c.Flag("method", "Method of the request.").Default("GET").StringVar(&k.method)
	c.Flag("path", "Path of the request.").Default("/").StringVar(&k.path)
	return c
}

func (k *explainCommand) run(ctx context.Context, c console) error {
	q := url.Values{"caller": {k.caller}, "service": {k.service}, "method": {k.method}, "path": {k.path}}
	var e engine.Explanation
	if err := get(ctx, "http://"+k.host+administrator.ExplainPath+"?"+q.Encode(), &e); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "bundle %d\nservice %s\nkind %s\nzone %s\nhost %s\ntargets %v\nbecause: %s\n",
		e.Version, e.Service, e.Kind, e.Zone, e.Host, e.Targets, e.Reason)
	return err
}
