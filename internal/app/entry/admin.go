package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"

	"github.com/cactuspin/cactuspin"
)

// newAdminHandler returns the handler of requests for the status and for
// explanations of flows. Both are read-only.
func newAdminHandler(h *host) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+cactuspin.EntryStatusPath, func(w http.ResponseWriter, _ *http.Request) { h.writeJSON(w, h.statusReport()) })
	m.HandleFunc("GET "+cactuspin.EntryExplainPath, func(w http.ResponseWriter, r *http.Request) {
		caller, e1 := netip.ParseAddrPort(r.URL.Query().Get("caller"))
		service, e2 := netip.ParseAddrPort(r.URL.Query().Get("service"))
		if e1 != nil || e2 != nil {
			http.Error(w, "caller and service must be IP:port", http.StatusBadRequest)
			return
		}
		h.writeJSON(w, h.engine.Explain(h.common.Clock(), caller, service))
	})
	return m
}

func (h *host) statusReport() cactuspin.EntryStatus {
	s := h.status()
	report := cactuspin.EntryStatus{
		Host: h.settings.Load().Name, Zone: string(h.settings.Load().Zone), Build: Build,
		Version: uint64(s.RoutingVersion), StoreEra: uint64(s.Era), Revision: uint64(s.Revision), KnowledgeAge: s.Age.Seconds(),
		Targets: s.Targets, Flows: s.Flows, Peers: s.Peers, ReadsStore: s.Reading, Leaving: s.Leaving,
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
