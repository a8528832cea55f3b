package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// runsTimeout bounds one call of GET /runs.
const runsTimeout = 10 * time.Second

// counts reads the answers of both kinds of stand-in: an engine tells counts by request id, a plain service
// counts by request id and by key.
type runCounts map[string]int

// UnmarshalJSON implements json.Unmarshaler.
func (c *runCounts) UnmarshalJSON(b []byte) error {
	var plain struct {
		IDs  map[string]int `json:"ids"`
		Keys map[string]int `json:"keys"`
	}
	if json.Unmarshal(b, &plain) == nil && (plain.IDs != nil || plain.Keys != nil) {
		*c = plain.IDs
		if *c == nil {
			*c = make(map[string]int)
		}
		for key, n := range plain.Keys {
			(*c)["key "+key] = n
		}
		return nil
	}
	return json.Unmarshal(b, (*map[string]int)(c))
}

// Runs reads GET /runs of the stand-ins at addrs, an object of counts by request id, and adds them up.
func FetchRuns(ctx context.Context, addrs []string) (sum map[string]int, err error) {
	sum = map[string]int{}
	c := &http.Client{Timeout: runsTimeout}
	for _, a := range addrs {
		req, err := sling.New().Get("http://" + a + "/runs").Request()
		if err != nil {
			return nil, errors.WithMessagef(err, "stand-in %s", a)
		}
		var counts runCounts
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
