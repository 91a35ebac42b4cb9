package daemon

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/cactuspin/cactuspin/internal/server/runner"
)

// newMetrics returns the HTTP handler of a host's metrics. Their names follow the
// conventions of OpenTelemetry.
func newMetrics(r *runner.Runner) (h http.Handler, err error) {
	defer func() { err = errors.Wrap(err, "new metrics") }()
	registry := promclient.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("cactuspin")
	if err := registerMetrics(meter, r); err != nil {
		return nil, err
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}

// registerMetrics registers the host's metrics. Their values are read whenever the
// metrics are collected.
func registerMetrics(m metric.Meter, r *runner.Runner) error {
	feeds, e1 := m.Int64ObservableGauge("cactuspin.feeds", metric.WithDescription("Observations held."))
	records, e2 := m.Int64ObservableGauge("cactuspin.records", metric.WithDescription("Requests remembered."))
	members, e3 := m.Int64ObservableGauge("cactuspin.members", metric.WithDescription("Hosts that answer, with this one."))
	version, e4 := m.Int64ObservableGauge("cactuspin.bundle.version", metric.WithDescription("Bundle in force."))
	malformed, e5 := m.Int64ObservableCounter("cactuspin.datagrams.malformed", metric.WithDescription("Datagrams that could not be read."))
	decisions, e6 := m.Int64ObservableCounter("cactuspin.decisions", metric.WithDescription("Decisions by kind."))
	traffic, e7 := m.Int64ObservableCounter("cactuspin.peer.io", metric.WithUnit("By"), metric.WithDescription("Bytes on the links between hosts."))
	dropped, e8 := m.Int64ObservableCounter("cactuspin.peer.messages.dropped", metric.WithDescription("Messages to hosts that did not keep up."))
	if err := errors.Join(e1, e2, e3, e4, e5, e6, e7, e8); err != nil {
		return errors.WithStack(err)
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := r.Engine().Stats()
		o.ObserveInt64(feeds, int64(s.Feeds))
		o.ObserveInt64(records, int64(s.Records))
		o.ObserveInt64(members, int64(s.Members))
		o.ObserveInt64(version, int64(s.Version))
		o.ObserveInt64(malformed, int64(r.Malformed()))
		for k, n := range r.Decisions() {
			o.ObserveInt64(decisions, int64(n), metric.WithAttributes(attribute.String("decision", string(k))))
		}
		sent, received, droppedCount := r.Traffic()
		o.ObserveInt64(traffic, int64(sent), metric.WithAttributes(attribute.String("network.io.direction", "transmit")))
		o.ObserveInt64(traffic, int64(received), metric.WithAttributes(attribute.String("network.io.direction", "receive")))
		o.ObserveInt64(dropped, int64(droppedCount))
		return nil
	}, feeds, records, members, version, malformed, decisions, traffic, dropped)
	return errors.WithStack(err)
}
