package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cactuspin/cactuspin"
)

const (
	// entryWatchInterval is the time between two tables of the hosts.
	entryWatchInterval = 2 * time.Second
	// maxEntryQueries limits the hosts that are asked at a time.
	maxEntryQueries = 32
)

// entryCommand shows the status of hosts of the packet path, or where one of them
// would forward a flow.
type entryCommand struct {
	hosts           []string
	caller, service string
	watch           bool
}

func (k *entryCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("entry", "Show the status of a host of the packet path, a table of several, or where one would forward a flow.")
	c.Arg("host", "IP:port of a host's admin address.").Required().StringsVar(&k.hosts)
	c.Flag("caller", "IP:port of the caller of a flow.").StringVar(&k.caller)
	c.Flag("service", "IP:port of the service.").StringVar(&k.service)
	c.Flag("watch", "Repeat the table every two seconds.").BoolVar(&k.watch)
	return c
}

func (k *entryCommand) run(ctx context.Context, c console) error {
	explains := k.caller != "" || k.service != ""
	switch {
	case (k.caller == "") != (k.service == ""):
		return errors.New("--caller and --service go together")
	case explains && (len(k.hosts) > 1 || k.watch):
		return errors.New("a flow is explained by one host, once")
	case explains:
		query := url.Values{"caller": {k.caller}, "service": {k.service}}
		return copyAnswer(ctx, c, url.URL{Host: k.hosts[0], Path: cactuspin.EntryExplainPath, RawQuery: query.Encode()})
	case len(k.hosts) == 1 && !k.watch:
		return copyAnswer(ctx, c, url.URL{Host: k.hosts[0], Path: cactuspin.EntryStatusPath})
	}
	for {
		if err := printEntries(c.out, queryEntries(ctx, k.hosts)); err != nil || !k.watch {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(entryWatchInterval):
		}
	}
}

// copyAnswer writes the answer of a host as it is.
func copyAnswer(ctx context.Context, c console, u url.URL) error {
	text, err := askHost(ctx, u)
	if err != nil {
		return err
	}
	_, err = c.out.Write(text)
	return errors.WithStack(err)
}

// askHost returns the body of a host's answer.
func askHost(ctx context.Context, u url.URL) (text []byte, err error) {
	defer func() { err = errors.Wrap(err, "ask host") }()
	u.Scheme = "http"
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { err = errors.CombineErrors(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("host answered %s", response.Status)
	}
	text, err = io.ReadAll(response.Body)
	return text, errors.WithStack(err)
}

// entryAnswer is the status of a host, or why it is not known.
type entryAnswer struct {
	address string
	status  cactuspin.EntryStatus
	err     error
}

// askEach asks hosts, some at a time, and returns their answers in the order of the hosts.
// An answer says itself what went wrong.
func askEach[T any](hosts []string, query func(address string) T) []T {
	answers := make([]T, len(hosts))
	var g errgroup.Group
	g.SetLimit(maxEntryQueries)
	for i, h := range hosts {
		g.Go(func() error {
			answers[i] = query(h)
			return nil
		})
	}
	_ = g.Wait() // No query returns an error.
	return answers
}

// queryEntries asks hosts for their status. The answers are sorted by zone and name.
func queryEntries(ctx context.Context, hosts []string) []entryAnswer {
	answers := askEach(hosts, func(address string) entryAnswer { return queryEntry(ctx, address) })
	slices.SortStableFunc(answers, func(a, b entryAnswer) int {
		return cmp.Or(cmp.Compare(a.status.Zone, b.status.Zone), cmp.Compare(a.status.Host, b.status.Host), cmp.Compare(a.address, b.address))
	})
	return answers
}

func queryEntry(ctx context.Context, address string) entryAnswer {
	a := entryAnswer{address: address}
	a.err = get(ctx, "http://"+address+cactuspin.EntryStatusPath, &a.status)
	return a
}

// printEntries prints a row for each host, and what matters about all of them.
func printEntries(out io.Writer, answers []entryAnswer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ZONE\tHOST\tADDRESS\tSTATE\tVERSION\tAGE\tREADER\tPEERS\tTARGETS\tDOWN\tEVACUATED\tFLOWS")
	for _, a := range answers {
		s := &a.status
		if a.err != nil {
			_, _ = fmt.Fprintf(w, "?\t?\t%s\tno answer\t\t\t\t\t\t\t\t\n", a.address)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.2fs\t%s\t%d\t%d\t%d\t%d\t%d\n", s.Zone, s.Host, a.address, stateOf(s), s.Version,
			s.KnowledgeAge, s.Reader, s.Peers, s.Targets, len(s.TargetsDown), len(s.EvacuatedZones), s.Flows)
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	_, err := fmt.Fprint(out, summarizeEntries(answers))
	return errors.WithStack(err)
}

// stateOf returns the state of a host as the table shows it.
func stateOf(s *cactuspin.EntryStatus) string {
	switch {
	case s.Leaving:
		return "leaving"
	case !s.Ready:
		return "not ready"
	case s.ReadsStore:
		return "ready, reads"
	default:
		return "ready"
	}
}

// summarizeEntries counts versions, silent hosts, targets that are down and zones that are
// evacuated.
func summarizeEntries(answers []entryAnswer) string {
	versions, down, evacuated, silent := map[uint64]int{}, map[string]int{}, map[string]int{}, 0
	oldest := 0.0
	for _, a := range answers {
		if a.err != nil {
			silent++
			continue
		}
		versions[a.status.Version]++
		oldest = max(oldest, a.status.KnowledgeAge)
		for _, t := range a.status.TargetsDown {
			down[t]++
		}
		for _, z := range a.status.EvacuatedZones {
			evacuated[z]++
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d hosts answered, oldest knowledge %.2fs\n", len(answers)-silent, len(answers), oldest)
	fmt.Fprintf(&b, "versions in force: %s\n", listCounts(versions, "host"))
	if len(down) > 0 {
		fmt.Fprintf(&b, "targets down: %s\n", listCounts(down, "host"))
	}
	if len(evacuated) > 0 {
		fmt.Fprintf(&b, "zones evacuated: %s\n", listCounts(evacuated, "host"))
	}
	return b.String()
}

// listCounts lists the keys with their counts, sorted by key.
func listCounts[K cmp.Ordered](counts map[K]int, unit string) string {
	keys := make([]K, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	parts := make([]string, 0, len(keys))
	for _, k := range keys {
		if counts[k] == 1 {
			parts = append(parts, fmt.Sprintf("%v (1 %s)", k, unit))
			continue
		}
		parts = append(parts, fmt.Sprintf("%v (%d %ss)", k, counts[k], unit))
	}
	return strings.Join(parts, ", ")
}
