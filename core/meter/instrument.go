package meter

import (
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"
)

// Bucket bounds. The limits of 0.67 s to the first token and 36 ms between tokens are among the bounds, so that the
// fraction of requests within them can be read exactly.
var (
	waitBounds   = []float64{.005, .01, .025, .05, .1, .25, .5, .67, 1, 2.5, 5, 10, 30, 60}
	gapBounds    = []float64{.005, .01, .015, .02, .025, .03, .036, .05, .075, .1, .25, .5, 1, 5}
	lengthBounds = []float64{64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384, 32768, 65536, 131072}
)

func (m *Meter) makeInstruments() (err error) {
	in := m.provider.Meter("hickoryvane")
	for _, h := range []struct {
		to         *metric.Float64Histogram
		name, text string
		bounds     []float64
	}{
		{&m.queueing, "hickoryvane.queueing", "time from receipt to dispatch", waitBounds},
		{&m.firstToken, "hickoryvane.first.token", "time from receipt to the first token", waitBounds},
		{&m.tokenGap, "hickoryvane.token.gap", "time between two tokens", gapBounds},
	} {
		*h.to, err = in.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.text),
			metric.WithExplicitBucketBoundaries(h.bounds...))
		if err != nil {
			return errors.WithMessage(err, h.name)
		}
	}
	m.length, err = in.Int64Histogram("hickoryvane.length", metric.WithUnit("{token}"),
		metric.WithDescription("prompt and output tokens of a request"),
		metric.WithExplicitBucketBoundaries(lengthBounds...))
	if err != nil {
		return errors.WithMessage(err, "hickoryvane.length")
	}
	return m.makeCounters(in)
}

func (m *Meter) makeCounters(in metric.Meter) (err error) {
	for _, c := range []struct {
		to               *metric.Int64Counter
		name, unit, text string
	}{
		{&m.goodput, "hickoryvane.goodput", "{request}", "requests answered whole and in time"},
		{&m.shed, "hickoryvane.shed", "{request}", "requests shed"},
		{&m.wastedPrefill, "hickoryvane.wasted.prefill", "{token}", "prompt tokens processed for nothing"},
		{&m.linkBytes, "hickoryvane.link", "By", "bytes sent over the region link"},
		{&m.refused, "hickoryvane.refused", "{request}", "requests refused"},
		{&m.overQuota, "hickoryvane.quota.refused", "{request}", "requests over the limit of their account"},
		{&m.prefixHeld, "hickoryvane.prefix.held", "{token}", "prompt tokens that targets were estimated to hold"},
		{&m.prefixMoved, "hickoryvane.prefix.moved", "{request}", "requests sent to another target because of them"},
		{&m.limited, "hickoryvane.limited", "{connection}", "connections of callers that reached a limit"},
		{&m.resent, "hickoryvane.repeated", "{request}", "requests sent to one more target"},
	} {
		*c.to, err = in.Int64Counter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.text))
		if err != nil {
			return errors.WithMessage(err, c.name)
		}
	}
	m.prefixWait, err = in.Float64Counter("hickoryvane.prefix.wait", metric.WithUnit("s"), metric.WithDescription("expected wait of the requests that were moved"))
	if err != nil {
		return errors.WithMessage(err, "hickoryvane.prefix.wait")
	}
	m.targets, err = in.Int64Gauge("hickoryvane.targets", metric.WithUnit("{target}"), metric.WithDescription("targets by state"))
	return errors.WithMessage(err, "hickoryvane.targets")
}
