package dial

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// restMargin is subtracted from the idle timeout that a target states: a request that is sent just before its end
// could arrive after it. Targets are at most some ten milliseconds away, and measure the time from when they have sent
// their answer.
const restMargin = 300 * time.Millisecond

// RestTime returns the time for which a connection may stay idle after an answer with the given headers. It is zero if
// the target allows no rest that is longer than the margin.
func RestTime(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for p := range strings.SplitSeq(v, ",") {
			name, value, ok := strings.Cut(p, "=")
			if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			n, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, 31)
			if err != nil {
				return defaultRest
			}
			return min(max(time.Duration(n)*time.Second-restMargin, 0), MaxRest)
		}
	}
	return defaultRest
}
