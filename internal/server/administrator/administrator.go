// Package administrator serves a host's HTTP interface for operators and
// monitoring: status, explanations, health, metrics, the log level and the delivery
// of bundles that the platform has accepted. A host's rules can't be edited there.
package administrator

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/netip"

	"github.com/cactuspin/cactuspin"
	"github.com/cactuspin/cactuspin/internal/configuration/bundleparser"
	"github.com/cactuspin/cactuspin/internal/host/engine"
	"github.com/cactuspin/cactuspin/internal/server/driver"
)

// URL paths of the interface.
const (
	StatusPath  = "/v1/status"
	BundlePath  = "/v1/bundle"
	ExplainPath = "/v1/explain"
	LevelPath   = "/v1/log-level"
)

// Status is the state of a host as reported to operators.
type Status struct {
	Host        cactuspin.HostID        `json:"host"`
	Zone        cactuspin.ZoneID        `json:"zone"`
	Incarnation cactuspin.Incarnation   `json:"incarnation"`
	Version     cactuspin.BundleVersion `json:"version"`
	Signer      string                  `json:"signer,omitempty"`
	Digest      string                  `json:"digest,omitempty"`
	Feeds       int                     `json:"feeds"`
	Records     int                     `json:"records"`
	Members     int                     `json:"members"`
	Leaving     bool                    `json:"leaving,omitempty"`
	Build       string                  `json:"build"`
}

// Config configures an Administrator.
type Config struct {
	driver.Common
	Self        cactuspin.HostID
	Zone        cactuspin.ZoneID
	Incarnation cactuspin.Incarnation
	Build       string
	Engine      *engine.Engine
	Handle      driver.Handler
	Level       *slog.LevelVar
	Metrics     http.Handler
}

// Administrator is the handler of the HTTP interface.
type Administrator struct {
	cfg Config
	mux *http.ServeMux
}

// New returns an Administrator.
func New(c Config) *Administrator {
	a := &Administrator{cfg: c, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET "+StatusPath, a.status)
	a.mux.HandleFunc("POST "+BundlePath, a.postBundle)
	a.mux.HandleFunc("GET "+ExplainPath, a.explain)
	a.mux.HandleFunc("PUT "+LevelPath, a.setLevel)
	a.mux.HandleFunc("GET /healthz", a.healthz)
	a.mux.HandleFunc("GET /readyz", a.readyz)
	if c.Metrics != nil {
		a.mux.Handle("GET /metrics", c.Metrics)
	}
	return a
}

// ServeHTTP answers one request.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *Administrator) status(w http.ResponseWriter, _ *http.Request) {
	s := a.cfg.Engine.Stats()
	status := Status{
		Host:        a.cfg.Self,
		Zone:        a.cfg.Zone,
		Incarnation: a.cfg.Incarnation,
		Version:     s.Version,
		Feeds:       s.Feeds,
		Records:     s.Records,
		Members:     s.Members,
		Leaving:     s.Leaving,
		Build:       a.cfg.Build,
	}
	if b := a.cfg.Engine.SignedBundle(); b != nil {
		status.Signer = b.Signer
		status.Digest = bundleparser.Digest(b.Text)
	}
	a.writeJSON(w, status)
}

// postBundle handles a bundle that the platform has accepted, so that the bundle
// comes into force even if the platform fails right after.
func (a *Administrator) postBundle(w http.ResponseWriter, r *http.Request) {
	var s cactuspin.SignedBundle
	body := http.MaxBytesReader(w, r.Body, 2*bundleparser.MaxLength)
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		http.Error(w, "not a signed bundle", http.StatusBadRequest)
		return
	}
	s.Confirmed = false
	a.cfg.Handle(func(now cactuspin.Time, out *cactuspin.Actions) {
		a.cfg.Engine.Platform(now, cactuspin.PlatformEvent{Bundle: &s}, out)
	})
	a.status(w, r)
}

func (a *Administrator) explain(w http.ResponseWriter, r *http.Request) {
	caller, err := netip.ParseAddrPort(r.URL.Query().Get("caller"))
	if err != nil {
		http.Error(w, "caller must be IP:port", http.StatusBadRequest)
		return
	}
	service, err := netip.ParseAddrPort(r.URL.Query().Get("service"))
	if err != nil {
		http.Error(w, "service must be IP:port", http.StatusBadRequest)
		return
	}
	a.writeJSON(w, a.cfg.Engine.Explain(caller, service, r.URL.Query().Get("method"), r.URL.Query().Get("path")))
}

func (a *Administrator) setLevel(w http.ResponseWriter, r *http.Request) {
	const maxLevelLength = 16
	b, err := io.ReadAll(io.LimitReader(r.Body, maxLevelLength))
	if err == nil {
		err = a.cfg.Level.UnmarshalText(b)
	}
	if err != nil {
		http.Error(w, "level must be debug, info, warn or error", http.StatusBadRequest)
	}
}

func (a *Administrator) healthz(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// readyz reports whether the host can serve: it has a bundle and is not leaving.
func (a *Administrator) readyz(w http.ResponseWriter, _ *http.Request) {
	s := a.cfg.Engine.Stats()
	if s.Version == 0 || s.Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *Administrator) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.cfg.Logger.Debug("administrator: answer not written", slog.Any("error", err))
	}
}
