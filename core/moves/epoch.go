package moves

import "time"

// Evidence is grouped by epochs of the wall clock, so that versions are compared over the same periods.
const (
	// EpochLen is the length of an epoch. The clocks of the VMs must agree to within a fraction of it.
	EpochLen = 20 * time.Second
	// fineEpochs is the number of newest epochs that are counted separately, five minutes.
	fineEpochs = 15
	// coarseEpochs is the number of epochs in a coarse span, five minutes.
	coarseEpochs = 15
	// coarseSpans is the number of coarse spans that are counted separately, an hour; all earlier epochs form one
	// span.
	coarseSpans = 12
)

// epoch is the number of an epoch, counted from 1970.
type epoch int64

func epochOf(t time.Time) epoch { return epoch(t.UnixNano() / int64(EpochLen)) }

// span is a range of epochs whose outcomes are counted together.
type span struct {
	// Start is the first epoch; zero for the span of all epochs before the coarse spans.
	Start epoch
	// Len is the number of epochs; zero for the span before the coarse spans.
	Len int64
}

// spanOf returns the span of epoch e while newest is the newest epoch. It depends on nothing else, so that the
// counters of all agents use the same spans.
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

// duration returns the length of a span; zero for the span before the coarse spans.
func (s span) duration() time.Duration { return time.Duration(s.Len) * EpochLen }

// startTime returns the start of a span; 1970 for the span before the coarse spans.
func (s span) startTime() time.Time { return time.Unix(0, int64(s.Start)*int64(EpochLen)) }
