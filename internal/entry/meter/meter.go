// Package meter serves the metrics of an entry host, which are named by the
// conventions of OpenTelemetry.
package meter

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/cactuspin/cactuspin/internal/entry/engine"
)

// Counters holds the counts of a host that the engine does not keep.
type Counters struct {
	Malformed, Unsent             uint64
	PeerSent, PeerReceived        uint64
	LinesDropped, LinesSuppressed uint64
}

// Config configures a Meter.
type Config struct {
	Status   func() engine.Status
	Counters func() Counters
}

// Meter records and serves metrics. It can be used before Open, but discards what
// is recorded until then.
type Meter struct {
	cfg      Config
	duration atomic.Pointer[metric.Float64Histogram]
	handler  atomic.Pointer[http.Handler]
}

// New returns a Meter.
func New(c Config) *Meter { return &Meter{cfg: c} }

// Open creates the instruments. This takes some milliseconds of processor time,
// which a starting host cannot spare.
func (m *Meter) Open() (err error) {
	defer func() { err = errors.Wrap(err, "open meter") }()
	registry := promclient.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry), prometheus.WithoutScopeInfo())
	if err != nil {
		return errors.WithStack(err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("cactuspin")
	duration, err := meter.Float64Histogram("cactuspin.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request to the first acknowledged answer, as this host sees it."),
		metric.WithExplicitBucketBoundaries(.01, .025, .05, .075, .1, .15, .2, .25, .3, .5, .75, 1, 1.5, 2, 3, 6))
	if err != nil {
		return errors.WithStack(err)
	}
	if err := m.observe(meter); err != nil {
		return err
	}
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	m.duration.Store(&duration)
	m.handler.Store(&handler)
	return nil
}

// RecordResponseTime records the time from a request to its first answer.
func (m *Meter) RecordResponseTime(responseTime time.Duration) {
	if d := m.duration.Load(); d != nil {
		(*d).Record(context.Background(), responseTime.Seconds())
	}
}

// ServeHTTP serves the metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := m.handler.Load()
	if h == nil {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	(*h).ServeHTTP(w, r)
}

// instruments are the instruments that are observed when the metrics are
// collected.
type instruments struct {
	age, imbalance                                                                  metric.Float64ObservableGauge
	version, era, revision, targets, down, evacuated, cold, flows, peers, zoneHosts metric.Int64ObservableGauge
	verdicts, malformed, unsent, io, lost, heldAway                                 metric.Int64ObservableCounter
}

func (m *Meter) observe(meter metric.Meter) (err error) {
	var i instruments
	var errs []error
	gauge := func(name, description string) metric.Int64ObservableGauge {
		g, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		errs = append(errs, err)
		return g
	}
	counter := func(name, unit, description string) metric.Int64ObservableCounter {
		c, err := meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	i.version = gauge("cactuspin.routing.version", "Version of the routes in force.")
	i.revision = gauge("cactuspin.knowledge.revision", "Revision of the store that is known.")
	i.era = gauge("cactuspin.store.era", "Era of the store: it grows with each restore from a backup.")
	i.targets = gauge("cactuspin.targets", "Registered targets.")
	i.down = gauge("cactuspin.targets.down", "Targets that answer neither packets nor probes.")
	i.evacuated = gauge("cactuspin.zones.evacuated", "Zones whose targets get no new flows.")
	i.cold = gauge("cactuspin.targets.cold", "Targets of the zone that have not warmed up and have a limit.")
	i.heldAway = counter("cactuspin.flows.held_away", "{flow}", "New flows sent to other zones or refused because targets of the zone are cold.")
	i.flows = gauge("cactuspin.flows", "Flows remembered.")
	i.peers = gauge("cactuspin.peers", "Other hosts heard.")
	i.zoneHosts = gauge("cactuspin.zone.hosts", "Hosts of the zone that share the targets, or 0.")
	i.verdicts = counter("cactuspin.packets", "{packet}", "Packets by the reason of their verdict.")
	i.malformed = counter("cactuspin.datagrams.malformed", "{datagram}", "Datagrams that could not be read.")
	i.unsent = counter("cactuspin.packets.unsent", "{packet}", "Packets that could not be sent.")
	i.io = counter("cactuspin.peer.io", "By", "Bytes of datagrams between hosts.")
	i.lost = counter("cactuspin.log.lines.lost", "{line}", "Log lines left out or dropped.")
	i.age, err = meter.Float64ObservableGauge("cactuspin.knowledge.age", metric.WithUnit("s"), metric.WithDescription("Age of the knowledge in use."))
	errs = append(errs, err)
	i.imbalance, err = meter.Float64ObservableGauge("cactuspin.load.imbalance", metric.WithDescription("Highest load of a target by its flows over the mean."))
	if err = errors.Join(append(errs, err)...); err != nil {
		return errors.WithStack(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		m.collect(o, &i)
		return nil
	}, i.age, i.version, i.era, i.revision, i.targets, i.down, i.evacuated, i.flows, i.peers, i.zoneHosts, i.imbalance, i.verdicts, i.malformed, i.unsent, i.io, i.lost, i.cold, i.heldAway)
	return errors.WithStack(err)
}

func (m *Meter) collect(o metric.Observer, i *instruments) {
	s, f := m.cfg.Status(), m.cfg.Counters()
	o.ObserveFloat64(i.age, s.Age.Seconds())
	o.ObserveInt64(i.version, int64(s.RoutingVersion))
	o.ObserveInt64(i.era, int64(s.Era))
	o.ObserveInt64(i.revision, int64(s.Revision))
	o.ObserveInt64(i.targets, int64(s.Targets))
	o.ObserveInt64(i.down, int64(len(s.Down)))
	o.ObserveInt64(i.evacuated, int64(len(s.Evacuated)))
	o.ObserveInt64(i.cold, int64(s.ColdTargets))
	o.ObserveInt64(i.heldAway, int64(s.HeldAway))
	o.ObserveInt64(i.flows, int64(s.Flows))
	o.ObserveInt64(i.peers, int64(s.Peers))
	o.ObserveInt64(i.zoneHosts, int64(s.Balance.Hosts))
	o.ObserveFloat64(i.imbalance, s.Balance.Imbalance)
	for reason, n := range s.Verdicts {
		o.ObserveInt64(i.verdicts, int64(n), metric.WithAttributes(attribute.String("reason", reason.String())))
	}
	o.ObserveInt64(i.malformed, int64(f.Malformed))
	o.ObserveInt64(i.unsent, int64(f.Unsent))
	o.ObserveInt64(i.io, int64(f.PeerSent), metric.WithAttributes(attribute.String("network.io.direction", "transmit")))
	o.ObserveInt64(i.io, int64(f.PeerReceived), metric.WithAttributes(attribute.String("network.io.direction", "receive")))
	o.ObserveInt64(i.lost, int64(f.LinesDropped+f.LinesSuppressed))
}
