package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/steering/balancer"
)

// whereCommand shows where hosts of the packet path would forward a new flow, and why.
type whereCommand struct {
	service, caller string
	hosts           []string
	output          string
	json            bool
}

func (k *whereCommand) register(a *kingpin.Application) *kingpin.CmdClause {
	c := a.Command("where", "Show where hosts of the packet path would forward a new flow now, and why, without sending anything.")
	c.Arg("service", "IP:port of the service.").Required().StringVar(&k.service)
	c.Flag("host", "IP:port of a host's admin address; several hosts are shown side by side.").Required().StringsVar(&k.hosts)
	c.Flag("caller", "IP:port of a caller, to show its open flow if the host knows it.").StringVar(&k.caller)
	c.Flag("output", "Format: text or json.").Default("text").EnumVar(&k.output, "text", "json")
	c.Flag("json", "The same as --output json.").BoolVar(&k.json)
	return c
}

// hostDecision is the explanation of a host, or why there is none.
type hostDecision struct {
	Address     string                `json:"address"`
	Explanation *balancer.Explanation `json:"explanation,omitempty"`
	Error       string                `json:"error,omitempty"`
}

func (k *whereCommand) run(ctx context.Context, c console) error {
	q, err := k.query()
	if err != nil {
		return err
	}
	decisions := queryDecisions(ctx, k.hosts, q)
	if k.json || k.output == "json" {
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		err = errors.WithStack(e.Encode(decisions))
	} else {
		err = printDecisions(c.out, decisions)
	}
	if err != nil {
		return err
	}
	return failedDecisions(decisions)
}

// query returns the query of the explanation.
func (k *whereCommand) query() (url.Values, error) {
	q := url.Values{"service": {k.service}}
	if k.caller != "" {
		q.Set("caller", k.caller)
	}
	for name, values := range q {
		if a, err := netip.ParseAddrPort(values[0]); err != nil || !a.Addr().Is4() {
			return nil, errors.Newf("%s must be IP:port, not %q", name, values[0])
		}
	}
	return q, nil
}

// failedDecisions returns an error that names the hosts without an explanation, or nil.
func failedDecisions(decisions []hostDecision) error {
	var failed []string
	for i := range decisions {
		if d := &decisions[i]; d.Error != "" {
			failed = append(failed, d.Address+": "+d.Error)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return errors.Newf("%d of %d hosts have no explanation: %s", len(failed), len(decisions), strings.Join(failed, "; "))
}

// queryDecisions asks hosts for their explanations. Those that have one come first, sorted
// by zone and name.
func queryDecisions(ctx context.Context, hosts []string, q url.Values) []hostDecision {
	decisions := askEach(hosts, func(address string) hostDecision { return queryDecision(ctx, address, q) })
	slices.SortStableFunc(decisions, func(a, b hostDecision) int {
		if a.Explanation == nil || b.Explanation == nil {
			return cmp.Or(strings.Compare(fmt.Sprint(a.Explanation == nil), fmt.Sprint(b.Explanation == nil)), strings.Compare(a.Address, b.Address))
		}
		x, y := a.Explanation, b.Explanation
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Host, y.Host), cmp.Compare(a.Address, b.Address))
	})
	return decisions
}

func queryDecision(ctx context.Context, address string, q url.Values) hostDecision {
	d := hostDecision{Address: address}
	text, err := askHost(ctx, url.URL{Host: address, Path: cactuspin.EntryExplainPath, RawQuery: q.Encode()})
	if err != nil {
		d.Error = err.Error()
		return d
	}
	var x balancer.Explanation
	if err := json.Unmarshal(text, &x); err != nil {
		d.Error = "answer of the host: " + err.Error()
		return d
	}
	d.Explanation = &x
	switch {
	case !x.Ready:
		d.Error = "the host has no knowledge yet and drops all packets"
	case x.Route == "":
		d.Error = fmt.Sprintf("routing version %d has no route for %s", x.Version, q.Get("service"))
	}
	return d
}

// printDecisions prints a table with the decisions of all hosts, then for each host what
// they are based on.
func printDecisions(out io.Writer, decisions []hostDecision) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ZONE\tHOST\tADDRESS\tROUTE\tVERSION\tAGE\tSHARE\tRULE\tTO")
	for i := range decisions {
		printDecision(w, &decisions[i])
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for i := range decisions {
		if x := decisions[i].Explanation; x != nil && len(x.Services) > 0 {
			if err := printExplanation(out, decisions[i].Address, x); err != nil {
				return err
			}
		}
	}
	return nil
}

// printDecision prints the rows of a host in the table of decisions.
func printDecision(w io.Writer, d *hostDecision) {
	x := d.Explanation
	if x == nil {
		_, _ = fmt.Fprintf(w, "?\t?\t%s\t\t\t\t\tno answer\t\n", d.Address)
		return
	}
	first := fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%.2fs", x.Zone, cmp.Or(x.Host, "?"), d.Address, x.Route, x.Version, x.KnowledgeAge)
	if d.Error != "" {
		_, _ = fmt.Fprintf(w, "%s\t\t%s\t\n", first, d.Error)
		return
	}
	for _, o := range x.Decisions {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", first, percent(o.Share), o.Rule, destination(x, &o))
		first = "\t\t\t\t\t"
	}
}

// destination describes what follows from a decision.
func destination(x *balancer.Explanation, d *balancer.DecisionExplanation) string {
	switch {
	case d.Outcome == "reset":
		return "refused with a reset"
	case d.Outcome == "drop":
		return "dropped, the knowledge is stale"
	case x.FlowKnown:
		return fmt.Sprintf("target %s of %s, zone %s", x.Target, d.Service, d.Zone)
	default:
		return fmt.Sprintf("%s, zone %s", d.Service, d.Zone)
	}
}

// printExplanation prints what a host knows of the services and targets of a route.
func printExplanation(out io.Writer, address string, x *balancer.Explanation) error {
	_, err := fmt.Fprintf(out, "\n%s (%s, zone %s)\n", cmp.Or(x.Host, "host"), address, x.Zone)
	for i := range x.Services {
		s := &x.Services[i]
		_, _ = fmt.Fprintf(out, "  service %s, weight %d\n", s.Service, s.Weight)
		if l := s.Limit; l != nil {
			_, _ = fmt.Fprintf(out, "    a cold target gets %.1f flows per second of its owner, one of %d hosts\n", l.OwnRate, l.EligibleHosts)
		}
		if len(s.Zones) == 0 {
			_, _ = fmt.Fprintln(out, "    no targets are known")
		}
		for j := range s.Zones {
			err = errors.CombineErrors(err, printZone(out, &s.Zones[j]))
		}
	}
	return errors.WithStack(err)
}

// printZone prints the targets of a zone.
func printZone(out io.Writer, z *balancer.ZoneExplanation) error {
	evacuated := ""
	if z.Evacuated {
		evacuated = ", evacuated"
	}
	_, _ = fmt.Fprintf(out, "    zone %s%s: use %.2f, %d usable, %d draining or unusable, %d suspect\n", z.Zone, evacuated, z.Utilization, z.Usable, z.Draining, z.Suspect)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(z.Targets) > 0 {
		_, _ = fmt.Fprintln(w, "      TARGET\tSHARE\tLOAD\tBUSY\tFLOWS\tSLOTS\tSLOWNESS\tFAILURES\tWARMUP\tCONDITION")
	}
	for i := range z.Targets {
		t := &z.Targets[i]
		_, _ = fmt.Fprintf(w, "      %s\t%s\t%.2f\t%d\t%d\t%d\t%.2f%s\t%.1f\t%.1fs\t%s\n", t.Target, percent(t.Share), t.Load, t.Requests, t.Flows, t.Slots,
			t.Slowness, aged(t.SlownessAge), t.Failures, t.WarmupLeft, conditionOf(t))
	}
	if z.TargetsOmitted > 0 {
		_, _ = fmt.Fprintf(w, "      and %d more\n", z.TargetsOmitted)
	}
	return errors.WithStack(w.Flush())
}

// conditionOf describes whether a target gets new flows, and how old the evidence is.
func conditionOf(t *balancer.TargetExplanation) string {
	parts := []string{t.Condition + aged(t.EvidenceAge)}
	if t.Unusable != "" {
		parts = append(parts, "unusable: "+t.Unusable)
	}
	if t.OtherFlows > 0 {
		parts = append(parts, fmt.Sprintf("%d flows of other hosts", t.OtherFlows))
	}
	if t.Cold != "" {
		parts = append(parts, "cold: "+t.Cold)
	}
	if t.Failing {
		parts = append(parts, fmt.Sprintf("failing: load +%.2f", t.FailureLoad))
	}
	if t.Condition != "healthy" {
		parts = append(parts, "last alive"+cmp.Or(aged(t.AliveAge), " never"))
	}
	return strings.Join(parts, ", ")
}

// aged returns an age as a suffix, or the empty string if there is none.
func aged(age *float64) string {
	if age == nil {
		return ""
	}
	return fmt.Sprintf(" (%.1fs ago)", *age)
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }
