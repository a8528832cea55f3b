package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// LinkPricePerMiB is the latency that one mebibyte over the region link has to save: a chat request of 4 KB with
	// 256 output tokens goes to another region for a gain of 0.11 s, an assessment of 400 KB for one of 0.9 s.
	LinkPricePerMiB = 2 * time.Second
	// LinkRate is the traffic budget of one router on the region link, in bytes per second: a tenth of the
	// 10 Mbit/s of a region.
	LinkRate ident.Bytes = 125_000
	// LinkBurst is the number of bytes that may be sent over the region link at once.
	LinkBurst ident.Bytes = 4 << 20
	// linkRoundTrip is the round-trip time between regions.
	linkRoundTrip = 10 * time.Millisecond
	// tokenWireBytes is the size of an output token on the wire, including its event frame.
	tokenWireBytes = 200
)

// link is the token bucket, in bytes, of the region link. Charges may overdraw it; it admits nothing until the
// debt is refilled.
type link struct {
	rate     ident.Bytes
	burst    ident.Bytes
	level    float64
	filledAt time.Time
}

func newLink() link { return link{rate: LinkRate, burst: LinkBurst, level: float64(LinkBurst)} }

func (l *link) refill(now time.Time) {
	if d := now.Sub(l.filledAt).Seconds(); d > 0 {
		if !l.filledAt.IsZero() {
			l.level = min(l.level+d*float64(l.rate), float64(l.burst))
		}
		l.filledAt = now
	}
}

func (l *link) charge(now time.Time, n ident.Bytes) {
	l.refill(now)
	l.level -= float64(n)
}

// admits reports whether n bytes are within the budget.
func (l *link) admits(now time.Time, n ident.Bytes) bool {
	l.refill(now)
	return l.level >= float64(n)
}

// linkBytes returns the expected bytes that a request transfers over the link in both directions.
func linkBytes(r *Request) ident.Bytes { return r.Bytes + ident.Bytes(r.Output)*tokenWireBytes }

// remotePenalty returns the time added to the estimate of a target in another region.
func (p *Picker) remotePenalty(r *Request) time.Duration {
	return linkRoundTrip + seconds(p.linkPricePerMiB.Seconds()*float64(linkBytes(r))/(1<<20))
}
