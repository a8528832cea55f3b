package moves

import "time"

// Evidence is grouped by epochs of the wall clock, so that versions are compared over the same time.
const (
	// EpochLen is the length of an epoch. The clocks of the VMs need to agree to a fraction of it.
	EpochLen = 20 * time.Second
	// fineCount is the number of newest epochs that are kept apart, five minutes.
	fineEpochs = 15
	// coarseLen is the number of epochs in a coarse span, five minutes.
	coarseEpochs = 15
	// coarseCount is the number of coarse spans kept apart, an hour; all before is one span.
	coarseSpans = 12
)

// epoch numbers epochs since 1970.
type epoch int64

func epochOf(t time.Time) epoch { return epoch(t.UnixNano() / int64(EpochLen)) }

// span is a range of epochs that is counted as one.
type span struct {
	// Start is the first epoch; zero for all that is older than the coarse spans.
	Start epoch
	// Len is the number of epochs; zero for the oldest span.
	Len int64
}

// spanOf returns the span of epoch e while newest is the newest epoch. It depends on nothing else,
// so that the counters of all agents fall into the same spans.
func spanOf(e, newest epoch) span {
	if newest-e < fineEpochs {
		return span{Start: e, Len: 1}
	}
	start := e / coarseEpochs * coarseEpochs
	if (newest-start)/coarseEpochs <= coarseSpans {
		return span{Start: start, Len: coarseEpochs}
	}
	return span{}
}

// duration returns the length of a span; zero for the oldest.
func (s span) duration() time.Duration { return time.Duration(s.Len) * EpochLen }
