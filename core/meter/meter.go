// Package meter records the measurements of a process with OpenTelemetry instruments whose label sets are bounded,
// and serves them to Prometheus.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/exemplar"
	"go.opentelemetry.io/otel/sdk/resource"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// Meter holds the instruments of one process. All methods are safe for concurrent use.
type Meter struct {
	provider *sdk.MeterProvider
	handler  http.Handler

	queueing, firstToken, tokenGap metric.Float64Histogram
	length                         metric.Int64Histogram
	goodput, shed                  metric.Int64Counter
	wastedPrefill, linkBytes       metric.Int64Counter
	refused, overQuota             metric.Int64Counter
	resent, limited                metric.Int64Counter
	targets                        metric.Int64Gauge
	prefixHeld, prefixMoved        metric.Int64Counter
	prefixWait                     metric.Float64Counter

	names    names
	requests *labelSets[requestLabels]
	tiers    *labelSets[ident.Tier]
	sheds    *labelSets[shedLabels]
	reasons  *labelSets[fault.Reason]
	accounts *labelSets[ident.AccountID]
	resends  *labelSets[resendLabels]
	services *labelSets[ident.Service]
}

type options struct {
	process ident.ProcessID
	setsMax int
}

// Option sets one property of a Meter.
type Option func(*options)

// WithProcess sets the process id in the label service.instance.id.
func WithProcess(id ident.ProcessID) Option { return func(o *options) { o.process = id } }

// WithLabelSetsMax bounds the number of label sets of tier, account and service.
func WithLabelSetsMax(n int) Option { return func(o *options) { o.setsMax = n } }

// New returns a meter without accounts and services; see Configure.
func New(opts ...Option) (m *Meter, err error) {
	defer func() { err = errors.WithMessage(err, "create meter") }()
	o := options{setsMax: labelSetsMax}
	for _, f := range opts {
		f(&o)
	}
	reg := prometheus.NewRegistry()
	reader, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	m = &Meter{
		provider: sdk.NewMeterProvider(
			sdk.WithReader(reader),
			// Exemplars take memory for each label set, and nothing reads them.
			sdk.WithExemplarFilter(exemplar.AlwaysOffFilter),
			sdk.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", string(o.process)))),
			// The bounds in label.go are smaller, so that the SDK never merges label sets by its own limit.
			sdk.WithCardinalityLimit(2*max(o.setsMax, labelSetsMax, shedSetsMax)),
		),
		handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}),
	}
	m.makeLabelSets(o.setsMax)
	return m, m.makeInstruments()
}

// Handler serves /metrics.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close shuts the instruments down.
func (m *Meter) Close(ctx context.Context) error {
	return errors.WithMessage(m.provider.Shutdown(ctx), "close meter")
}

// RecordQueueing records the time from receipt to dispatch.
func (m *Meter) RecordQueueing(t ident.Tier, a ident.AccountID, s ident.Service, d time.Duration) {
	m.queueing.Record(context.Background(), d.Seconds(), m.labels(t, a, s).record...)
}

// RecordFirstToken records the time from receipt to the first token.
func (m *Meter) RecordFirstToken(t ident.Tier, a ident.AccountID, s ident.Service, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), m.labels(t, a, s).record...)
}

// RecordTokenGap records the time between two tokens.
func (m *Meter) RecordTokenGap(t ident.Tier, a ident.AccountID, s ident.Service, d time.Duration) {
	m.tokenGap.Record(context.Background(), d.Seconds(), m.labels(t, a, s).record...)
}

// RecordLength records the number of prompt and output tokens of a request.
func (m *Meter) RecordLength(t ident.Tier, a ident.AccountID, s ident.Service, n ident.Tokens) {
	m.length.Record(context.Background(), int64(n), m.labels(t, a, s).record...)
}

// CountGoodput counts a request that was answered completely and in time.
func (m *Meter) CountGoodput(t ident.Tier) {
	m.goodput.Add(context.Background(), 1, m.tiers.get(boundTier(t)).add...)
}

// CountShed counts a request that was shed.
func (m *Meter) CountShed(t ident.Tier, r fault.Reason) {
	m.shed.Add(context.Background(), 1, m.sheds.get(shedLabels{boundTier(t), r}).add...)
}

// CountWastedPrefill counts prompt tokens that were processed without a complete answer.
func (m *Meter) CountWastedPrefill(n ident.Tokens) {
	m.wastedPrefill.Add(context.Background(), int64(n))
}

// CountLinkBytes counts bytes sent over the region link for an account.
func (m *Meter) CountLinkBytes(a ident.AccountID, n ident.Bytes) {
	m.linkBytes.Add(context.Background(), int64(n), m.accounts.get(m.names.account(a)).add...)
}

// CountRefused counts a refused request.
func (m *Meter) CountRefused(r fault.Reason) {
	m.refused.Add(context.Background(), 1, m.reasons.get(r).add...)
}

// CountOverQuota counts a request of an account that was over its own limit.
func (m *Meter) CountOverQuota(a ident.AccountID) {
	m.overQuota.Add(context.Background(), 1, m.accounts.get(m.names.account(a)).add...)
}

// CountResent counts a request that was sent to one more target, by its service and its result at the previous one.
func (m *Meter) CountResent(s ident.Service, after string) {
	m.resent.Add(context.Background(), 1, m.resends.get(resendLabels{m.names.service(s), after}).add...)
}

// CountPrefix counts the prompt tokens that the target of a placement is estimated to hold, whether the request was
// moved there because of them, and the wait that this is expected to cost.
func (m *Meter) CountPrefix(s ident.Service, held ident.Tokens, moved bool, wait time.Duration) {
	if held <= 0 && !moved {
		return
	}
	o := m.services.get(m.names.service(s)).add
	m.prefixHeld.Add(context.Background(), int64(held), o...)
	if moved {
		m.prefixMoved.Add(context.Background(), 1, o...)
		m.prefixWait.Add(context.Background(), wait.Seconds(), o...)
	}
}

// CountLimited counts a connection that reached a limit of package accept, of which there are few.
func (m *Meter) CountLimited(limit string) {
	m.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("limit", limit)))
}

// RecordTargets records how many targets of a service are in a state.
func (m *Meter) RecordTargets(s ident.Service, state string, n int) {
	m.targets.Record(context.Background(), int64(n), metric.WithAttributes(attribute.String("service", string(m.names.service(s))), attribute.String("state", state)))
}
