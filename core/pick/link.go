package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// Price is the time that a mebibyte over the region link is worth: a question of 4 KB with 256
	// output tokens crosses for a gain of 0.11 s, an assessment of 400 KB for one of 0.9 s.
	LinkPricePerMiB = 2 * time.Second
	// LinkRate is the request traffic of one router over the region link, in bytes per second: a tenth
	// of the 10 Mbit/s of a region.
	LinkRate ident.Bytes = 125_000
	// LinkBurst is the number of bytes that may cross at once.
	LinkBurst ident.Bytes = 4 << 20
	// linkDelay is the round trip between regions.
	linkRoundTrip = 10 * time.Millisecond
	// tokenBytes is the length of an output token on the wire, with its event frame.
	tokenWireBytes = 200
)

// link is the budget of the region link; a debt closes it until it is paid off.
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

// open reports whether n bytes are within the budget.
func (l *link) admits(now time.Time, n ident.Bytes) bool {
	l.refill(now)
	return l.level >= float64(n)
}

// crossing returns the bytes that a request takes over the link.
func linkBytes(r *Request) ident.Bytes { return r.Bytes + ident.Bytes(r.Output)*tokenWireBytes }

// remoteCost is the penalty of a target in another region.
func (p *Picker) remotePenalty(r *Request) time.Duration {
	return linkRoundTrip + seconds(p.linkPricePerMiB.Seconds()*float64(linkBytes(r))/(1<<20))
}
