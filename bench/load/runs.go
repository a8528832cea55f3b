package load

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// runsTimeout bounds one call of GET /runs.
const runsTimeout = 10 * time.Second

// Runs reads GET /runs of the stand-ins at addrs, an object of counts by request id, and adds them up.
func Runs(ctx context.Context, addrs []string) (sum map[string]int, err error) {
	sum = map[string]int{}
	c := &http.Client{Timeout: runsTimeout}
	for _, a := range addrs {
		req, err := sling.New().Get("http://" + a + "/runs").Request()
		if err != nil {
			return nil, errors.WithMessagef(err, "stand-in %s", a)
		}
		counts := map[string]int{}
		resp, err := sling.New().Client(c).Do(req.WithContext(ctx), &counts, nil)
		if err != nil {
			return nil, errors.WithMessagef(err, "stand-in %s", a)
		}
		if resp.StatusCode != http.StatusOK {
			return nil, errors.Errorf("stand-in %s: %s", a, resp.Status)
		}
		for id, n := range counts {
			sum[id] += n
		}
	}
	return sum, nil
}
