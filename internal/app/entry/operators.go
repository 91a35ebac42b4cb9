package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"

	"github.com/cactuspin/cactuspin"
)

// hostStatus is what a host tells operators. Durations are in seconds.
type hostStatus struct {
	Host       string            `json:"host"`
	Zone       string            `json:"zone"`
	Build      string            `json:"build"`
	Version    uint64            `json:"routing_version"`
	Revision   uint64            `json:"revision"`
	Age        float64           `json:"knowledge_age_s"`
	Targets    int               `json:"targets"`
	Down       []string          `json:"targets_down,omitempty"`
	Flows      int               `json:"flows"`
	Peers      int               `json:"peers"`
	Reading    bool              `json:"reads_store"`
	Leaving    bool              `json:"leaving"`
	Ready      bool              `json:"ready"`
	ByReason   map[string]uint64 `json:"packets_by_reason"`
	LogsLeft   uint64            `json:"log_lines_left_out"`
	LogDropped uint64            `json:"log_lines_dropped"`
}

// newOperators serves status and explanations. Nothing here changes the host.
func newOperators(h *host) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+cactuspin.EntryStatusPath, func(w http.ResponseWriter, _ *http.Request) { h.answer(w, h.describe()) })
	m.HandleFunc("GET "+cactuspin.EntryExplainPath, func(w http.ResponseWriter, r *http.Request) {
		caller, e1 := netip.ParseAddrPort(r.URL.Query().Get("caller"))
		service, e2 := netip.ParseAddrPort(r.URL.Query().Get("service"))
		if e1 != nil || e2 != nil {
			http.Error(w, "caller and service must be IP:port", http.StatusBadRequest)
			return
		}
		h.answer(w, h.engine.Explain(h.common.Clock(), caller, service))
	})
	return m
}

func (h *host) describe() hostStatus {
	s := h.status()
	d := hostStatus{
		Host: h.settings.Load().Name, Zone: string(h.settings.Load().Zone), Build: Build,
		Version: uint64(s.RoutingVersion), Revision: uint64(s.Revision), Age: s.Age.Seconds(),
		Targets: s.Targets, Flows: s.Flows, Peers: s.Peers, Reading: s.Reading, Leaving: s.Leaving,
		Ready: h.engine.Ready(h.common.Clock()), ByReason: map[string]uint64{},
		LogsLeft: h.reporter.Suppressed(), LogDropped: h.writer.Dropped(),
	}
	for _, id := range s.Down {
		d.Down = append(d.Down, string(id))
	}
	for r, n := range s.Verdicts {
		if n > 0 {
			d.ByReason[r.String()] = n
		}
	}
	return d
}

func (h *host) answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		h.common.Logger.Debug("operators: answer not sent", slog.Any("error", err))
	}
}
