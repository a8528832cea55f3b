package queue_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prop"
	"hickoryvane.example/core/queue"
)

func TestMain(m *testing.M) { os.Exit(prop.Run(m)) }

const (
	maxItems  = 4
	maxTokens = 100
	maxCharge = 60
)

// shedder is what the property needs of a queue.
type shedder interface {
	Push(now time.Time, it queue.Item) ([]queue.Refusal, *fault.Error)
	Next(now time.Time) (queue.Item, []queue.Refusal, bool)
	Remove(now time.Time, id ident.RequestID) bool
}

// flat is a queue with a planted fault: it treats all tiers as one.
type singleTier struct{ *queue.Queue }

func (f singleTier) Push(now time.Time, it queue.Item) ([]queue.Refusal, *fault.Error) {
	it.Tier = 1
	return f.Queue.Push(now, it)
}

// model holds the offers that wait by the account of the property.
type model map[ident.RequestID]queue.Item

func (m model) lowest() (low ident.Tier) {
	for _, it := range m {
		low = max(low, it.Tier)
	}
	return low
}

// pushed checks the answer to one push and records it.
func (m model) checkPush(it queue.Item, evicted []queue.Refusal, err *fault.Error) error {
	for _, r := range evicted {
		old := m[r.Item.ID]
		if err != nil || old.Tier <= it.Tier || old.Tier < m.lowest() {
			return errors.Errorf("tier %d evicted for tier %d, lowest %d", old.Tier, it.Tier, m.lowest())
		}
		delete(m, old.ID)
	}
	switch {
	case err == nil:
		m[it.ID] = it
	case len(m) > 0 && m.lowest() > it.Tier:
		return errors.Errorf("tier %d refused while tier %d waits", it.Tier, m.lowest())
	}
	var n ident.Tokens
	for _, o := range m {
		n += o.Charge()
	}
	if len(m) > maxItems || n >= maxTokens+maxCharge {
		return errors.Errorf("%d offers of %d tokens wait", len(m), n)
	}
	return nil
}

// drive sends random offers and returns an error when a tier is shed while a lower one waits, when a
// lower tier is granted before a higher one, or when a bound is exceeded.
func checkRandomOffers(t *rapid.T, q shedder) error {
	m := model{}
	for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			it, _, ok := q.Next(t0)
			if old := m[it.ID]; ok {
				delete(m, it.ID)
				for _, o := range m {
					if o.Tier < old.Tier {
						return errors.Errorf("tier %d granted while tier %d waits", old.Tier, o.Tier)
					}
				}
			}
		case 1:
			id := ident.RequestID(strconv.Itoa(rapid.IntRange(0, i).Draw(t, "id")))
			q.Remove(t0, id)
			delete(m, id)
		default:
			it := item(ident.RequestID(strconv.Itoa(i)), rapid.SampledFrom([]ident.AccountID{"a", "b"}).Draw(t, "account"),
				ident.Tier(rapid.IntRange(0, 3).Draw(t, "tier")), ident.Tokens(rapid.IntRange(1, maxCharge).Draw(t, "charge")))
			evicted, err := q.Push(t0, it)
			if bad := m.checkPush(it, evicted, err); bad != nil {
				return bad
			}
		}
	}
	return nil
}

func smallQueue() *queue.Queue {
	return queue.New(queue.WithBounds(maxItems, maxTokens), queue.WithWindow(20, 1000))
}

// Guards against a higher tier that is shed before a lower one (promise P2).
func TestTierOrderOfShedding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkRandomOffers(t, smallQueue()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property that cannot fail.
func TestTierOrderPropertyDetectsSingleTier(t *testing.T) {
	g := NewWithT(t)
	faulty := rapid.Custom(func(t *rapid.T) error { return checkRandomOffers(t, singleTier{smallQueue()}) })
	failed := false
	for seed := range 200 {
		failed = failed || faulty.Example(seed) != nil
	}
	g.Expect(failed).To(BeTrue())
}
