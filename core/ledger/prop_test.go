package ledger_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ledger"
	"hickoryvane.example/core/prop"
)

func TestMain(m *testing.M) { os.Exit(prop.Run(m)) }

// ledgerUnderTest is the part of a ledger that the property uses.
type ledgerUnderTest interface {
	Grant(now time.Time, id ident.RequestID) (ident.Ticket, error)
	Revoke(now time.Time, id ident.RequestID) ledger.State
	Dispatch(now time.Time, id ident.RequestID, t ident.Ticket) error
	RecordEnd(now time.Time, id ident.RequestID)
	ExpireGrants(now time.Time) []ledger.GrantRef
	Len() int
}

// reuseLedger is a ledger with a deliberate fault: a used ticket stays valid.
type reuseLedger struct {
	*ledger.Ledger
	used map[ident.Ticket]bool
}

func (r reuseLedger) Dispatch(now time.Time, id ident.RequestID, t ident.Ticket) error {
	err := r.Ledger.Dispatch(now, id, t)
	if err == nil || r.used[t] {
		r.used[t] = true
		return nil
	}
	return err
}

const (
	retention  = 10 * time.Second
	recordsMax = 3
)

// runHistory applies a random sequence of events and returns an error when an id is dispatched twice within the
// retention time, or when more records are held than allowed.
func runHistory(t *rapid.T, l ledgerUnderTest) error {
	now := t0
	ids := rapid.SampledFrom([]ident.RequestID{"a", "b", "c", "d"})
	tickets := map[ident.RequestID][]ident.Ticket{}
	running, ended := map[ident.RequestID]bool{}, map[ident.RequestID]time.Time{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		id := ids.Draw(t, "id")
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0:
			if ticket, err := l.Grant(now, id); err == nil {
				tickets[id] = append(tickets[id], ticket)
			}
		case 1, 2:
			// Uses any ticket ever issued, for any id: the network may delay and repeat bodies.
			issued := tickets[ids.Draw(t, "of")]
			if len(issued) == 0 || l.Dispatch(now, id, rapid.SampledFrom(issued).Draw(t, "ticket")) != nil {
				continue
			}
			if at, ok := ended[id]; running[id] || ok && now.Sub(at) < retention {
				return errors.Errorf("request %s was dispatched twice within its retention time", id)
			}
			running[id] = true
		case 3:
			if l.RecordEnd(now, id); running[id] {
				running[id], ended[id] = false, now
			}
		case 4:
			l.ExpireGrants(now)
			l.Revoke(now, id)
		case 5:
			now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		}
		if l.Len() > recordsMax {
			return errors.Errorf("ledger holds %d records, more than its limit", l.Len())
		}
	}
	return nil
}

func newSmallLedger() *ledger.Ledger {
	return ledger.New(1, ledger.WithRetention(retention), ledger.WithRecordsMax(recordsMax))
}

// Guards against a request that runs twice (guarantee P1) when messages are delayed, repeated or mixed up.
func TestRequestsAreDispatchedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, newSmallLedger()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a property test that passes although tickets can be reused.
func TestAtMostOncePropertyDetectsReusedTickets(t *testing.T) {
	g := NewWithT(t)
	faulty := rapid.Custom(func(t *rapid.T) error {
		return runHistory(t, reuseLedger{newSmallLedger(), map[ident.Ticket]bool{}})
	})
	g.Expect(anyError(faulty)).To(BeTrue())
}

func anyError(gen *rapid.Generator[error]) bool {
	for seed := range 200 {
		if gen.Example(seed) != nil {
			return true
		}
	}
	return false
}
