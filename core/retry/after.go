package retry

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// AfterMax is the longest time that ParseAfter returns.
const AfterMax = 10 * time.Minute

// ParseAfter reads a time in seconds, with fractions, as in a Retry-After header. What is longer than AfterMax, whatever
// its number of digits, is AfterMax. An error means that v is no such number; dates are not read.
func ParseAfter(v string) (d time.Duration, err error) {
	v = strings.TrimSpace(v)
	if v == "" || strings.Trim(v, "0123456789.") != "" {
		return 0, errors.Errorf("%.40q is not a number of seconds", v)
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil && !math.IsInf(s, 1) { // an infinite one has more digits than fit
		return 0, errors.Errorf("%.40q is not a number of seconds", v)
	}
	return time.Duration(min(s, AfterMax.Seconds()) * float64(time.Second)), nil
}
