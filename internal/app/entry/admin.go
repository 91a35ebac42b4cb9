package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/cactuspin/cactuspin"
)

// newAdminHandler returns the handler of requests for the status and for
// explanations of flows. Both are read-only.
func newAdminHandler(h *host) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+cactuspin.EntryStatusPath, func(w http.ResponseWriter, _ *http.Request) { h.writeJSON(w, h.statusReport()) })
	m.HandleFunc("GET "+cactuspin.EntryExplainPath, func(w http.ResponseWriter, r *http.Request) {
		caller, service, err := parseFlow(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		x := h.engine.Explain(h.common.Clock(), caller, service)
		x.Host = h.settings.Load().Name
		h.writeJSON(w, x)
	})
	return m
}

// parseFlow parses the caller and the service of a query. Without a caller, the query is
// about a new flow.
func parseFlow(q url.Values) (caller, service netip.AddrPort, err error) {
	service, err = parseIPv4(q.Get("service"))
	if err == nil && q.Has("caller") {
		caller, err = parseIPv4(q.Get("caller"))
	}
	if err != nil {
		return netip.AddrPort{}, netip.AddrPort{}, errors.New("caller and service must be IP:port")
	}
	return caller, service, nil
}

// parseIPv4 parses an IPv4 address with a port. Packets have no other addresses.
func parseIPv4(text string) (a netip.AddrPort, err error) {
	if a, err = netip.ParseAddrPort(text); err == nil && !a.Addr().Is4() {
		err = errors.New("not an IPv4 address")
	}
	return a, errors.WithStack(err)
}

func (h *host) statusReport() cactuspin.EntryStatus {
	s := h.status()
	report := cactuspin.EntryStatus{
		Host: h.settings.Load().Name, Zone: string(h.settings.Load().Zone), Build: Build,
		Version: uint64(s.RoutingVersion), StoreEra: uint64(s.Era), Revision: uint64(s.Revision), KnowledgeAge: s.Age.Seconds(),
		Targets: s.Targets, Flows: s.Flows, Peers: s.Peers, ReadsStore: s.Reading, Leaving: s.Leaving,
		ZoneHosts: s.Balance.Hosts, ZoneRank: s.Balance.Rank, LoadImbalance: s.Balance.Imbalance,
		Ready: h.engine.Ready(h.common.Clock()), PacketsByReason: map[string]uint64{},
		ColdTargets: s.ColdTargets, FlowsHeldAway: s.HeldAway,
		LinesSuppressed: h.reporter.Suppressed(), LinesDropped: h.writer.Dropped(),
	}
	if s.Reader.IsValid() {
		report.Reader = s.Reader.String()
	}
	for _, id := range s.Down {
		report.TargetsDown = append(report.TargetsDown, string(id))
	}
	for _, z := range s.Evacuated {
		report.EvacuatedZones = append(report.EvacuatedZones, string(z))
	}
	for r, n := range s.Verdicts {
		if n > 0 {
			report.PacketsByReason[r.String()] = n
		}
	}
	return report
}

func (h *host) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		h.common.Logger.Debug("admin: response not sent", slog.Any("error", err))
	}
}
