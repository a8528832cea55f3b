package main

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// mixed is one kind of request of brunner-wind: requests a second over all zones, mean and spread of the tokens of a
// prompt, mean number of events, deadline, timeout of the route, and mean and largest size of the body in bytes, as the site file has them.
type mixed struct {
	name, method   string
	perSecond      float64
	prompt, spread float64
	promptMax      int
	events         float64
	deadline       time.Duration
	timeout        time.Duration
	body, bodyMax  int
}

// sheet is the mix of brunner-wind.
var sheet = []mixed{
	{"site-assessment", http.MethodPost, 18.8, 6610, 1.4, 54_600, 63.7, 15 * time.Second, 15 * time.Second, 12_000, 72_000},
	{"hire-answer", http.MethodPost, 26.5, 628, 1.0, 3310, 48.6, 12 * time.Second, 12 * time.Second, 830, 5000},
	{"photo-tag", http.MethodPost, 36.9, 1800, 1.3, 6870, 3.76, 3 * time.Second, 3 * time.Second, 2400, 14_000},
	{"book-charge", http.MethodPost, 20.6, 0, 0, 0, 0, 2 * time.Second, time.Second, 600, 3600},
	{"stock-lookup", http.MethodGet, 8.22, 0, 0, 0, 0, 2 * time.Second, time.Second, 0, 0},
}

// abandonTime is the gap after which clients abandon a stream: the longest of two seconds, four times the objective and
// eight times the pause of the sheet.
const abandonTime = 3200 * time.Millisecond

// hintSpread is the spread of Length-Hint about the length of the answer, which it has at the median.
var hintSpread = 0.5

var filler = bytes.Repeat([]byte("wind "), 1<<20)

// draw returns a lognormal number with the given mean and spread, at least 1 and at most limit.
func draw(rnd *rand.Rand, mean, spread float64, limit int) int {
	return min(max(int(mean*math.Exp(spread*rnd.NormFloat64()-spread*spread/2)), 1), limit)
}

// newRequest returns a request of a kind. Its body grows with its prompt.
func (m mixed) newRequest(rnd *rand.Rand, n int) request {
	q := request{
		id: fmt.Sprintf("%016x", rnd.Uint64()), method: m.method, host: host, path: "/" + m.name + "/" + strconv.Itoa(n), deadline: m.deadline, limit: min(m.deadline, m.timeout),
		body: filler[:m.body], header: map[string]string{"Authorization": "Token " + apiKey},
	}
	if m.prompt == 0 {
		return q
	}
	prompt, events := draw(rnd, m.prompt, m.spread, m.promptMax), draw(rnd, m.events, 1, 640)
	hint := max(int(float64(events)*math.Exp(hintSpread*rnd.NormFloat64())), 1)
	q.abandon = abandonTime
	q.body = filler[:min(max(prompt*m.body/int(m.prompt), 64), m.bodyMax)]
	q.header["Model"] = "m"
	q.header["Token-Counts"] = fmt.Sprintf("%d,%d", prompt, int(m.events)*60)
	q.header["Length-Hint"] = strconv.Itoa(hint * 6)
	q.header["Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:60,%x:%d", rnd.Uint32(), max(prompt-60, 1))
	q.header["X-Events"] = strconv.Itoa(events) // tells the stand-in the length of its answer
	return q
}

// sendSheet sends requests by the sheet for d, at x times its rates, to fronts of all zones. change, if not nil, may
// change a request before it is sent.
func (s *site) sendSheet(rnd *rand.Rand, d time.Duration, x float64, change func(m mixed, q *request)) {
	total := 0.0
	for _, m := range sheet {
		total += m.perSecond
	}
	end, next := time.Now().Add(d), time.Now()
	for time.Now().Before(end) {
		next = next.Add(time.Duration(rnd.ExpFloat64() / (total * x) * float64(time.Second)))
		time.Sleep(time.Until(next))
		at, m := rnd.Float64()*total, sheet[0]
		for _, m = range sheet {
			if at < m.perSecond {
				break
			}
			at -= m.perSecond
		}
		s.sent++
		q := m.newRequest(rnd, s.sent)
		if change != nil {
			change(m, &q)
		}
		s.send(zones[rnd.IntN(len(zones))].zone, q)
	}
}

// addSheetEngines starts the engines of brunner-wind.
func (s *site) addSheetEngines() error {
	err := s.addEngines("model-pool", 9, 11, func(i int, e *engine) {
		e.first, e.gap = 350*time.Millisecond, 18*time.Millisecond
		if i%4 == 3 { // engines of one service differ in speed
			e.gap = 60 * time.Millisecond
		}
	})
	if err == nil {
		err = s.addEngines("rental-desk", 3, 6, func(_ int, e *engine) { e.work = 30 * time.Millisecond })
	}
	return err
}
