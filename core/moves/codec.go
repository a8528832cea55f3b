package moves

import (
	"cmp"
	"encoding/binary"
	"slices"

	"hickoryvane.example/core/ident"
)

// report is the decoded value of one evidence entry.
type report struct {
	version ident.Version
	class   ident.Class
	// startedUnix is when the agent saw the rollout start, in Unix seconds.
	startedUnix int64
	// newest is the newest epoch with an outcome.
	newest epoch
	counts map[routeSpan]*Counts
}

func sortedRouteSpans(m map[routeSpan]*Counts) []routeSpan {
	out := make([]routeSpan, 0, len(m))
	for p := range m {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b routeSpan) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.span.Start, b.span.Start), cmp.Compare(a.span.Len, b.span.Len))
	})
	return out
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// appendCounts encodes only the bins that are not zero: their number, then the index and count of each.
func appendCounts(b []byte, c Counts) []byte {
	b = binary.AppendUvarint(b, c.Requests)
	b = binary.AppendUvarint(b, c.Failures)
	var n uint64
	for _, k := range c.LatencyBins {
		if k > 0 {
			n++
		}
	}
	b = binary.AppendUvarint(b, n)
	for i, k := range c.LatencyBins {
		if k > 0 {
			b = binary.AppendUvarint(b, uint64(i))
			b = binary.AppendUvarint(b, k)
		}
	}
	return b
}

// reader decodes a value. After the first error all results are zero and malformed is true.
type reader struct {
	b         []byte
	malformed bool
}

func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > limit {
		r.b, r.malformed = nil, true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text() string {
	n := r.uvarint(uint64(len(r.b)))
	if n > uint64(len(r.b)) {
		r.b, r.malformed = nil, true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

// countMax bounds each counter, so that sums of many counters do not overflow.
const countMax = 1 << 40

func (r *reader) counts() *Counts {
	c := &Counts{Requests: r.uvarint(countMax), Failures: r.uvarint(countMax)}
	for range r.uvarint(binCount) {
		i := r.uvarint(binCount - 1)
		c.LatencyBins[i] = r.uvarint(countMax)
	}
	r.malformed = r.malformed || c.Failures > c.Requests
	return c
}

// decodeReport returns the report in a value, or ErrMalformedEvidence.
func decodeReport(value []byte) (rep report, err error) {
	r := &reader{b: value}
	rep = report{version: ident.Version(r.text()), class: ident.Class(r.text()), counts: map[routeSpan]*Counts{}}
	rep.startedUnix = int64(r.uvarint(countMax))
	rep.newest = epoch(r.uvarint(countMax))
	for len(r.b) > 0 && len(rep.counts) < routesMax*spansMax {
		p := routeSpan{route: ident.Route(r.text())}
		p.span = span{Start: epoch(r.uvarint(countMax)), Len: int64(r.uvarint(coarseEpochs))}
		r.malformed = r.malformed || p.span.Start > rep.newest
		rep.counts[p] = r.counts()
	}
	if r.malformed {
		return report{}, ErrMalformedEvidence
	}
	return rep, nil
}
