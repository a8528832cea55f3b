// Package ledger records, in the memory of one agent, which offers were granted and which requests were
// dispatched to the target, and holds the claims of requests with idempotency keys on behalf of routers.
package ledger

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

const (
	// Retention is the time after the end of a request during which its id is not dispatched again. It exceeds the
	// 120 s for which answers are retained, so that a later resend of the request learns that it already ran.
	Retention = 15 * time.Minute
	// GrantTimeout is the time after which an unused grant expires.
	GrantTimeout = time.Second
	// RecordsMax bounds the dispatched ids held, which take about 10 MB. One target serves a few requests per
	// second, which amounts to a few thousand ids within Retention.
	RecordsMax = 1 << 16
)

// Errors of a Ledger. After any of them the request must not be written to the target.
var (
	// ErrAlreadyDispatched means that the id was dispatched before, within the retention time.
	ErrAlreadyDispatched = errors.New("request was dispatched before")
	// ErrAlreadyGranted means that a grant for the id is outstanding.
	ErrAlreadyGranted = errors.New("request has an outstanding grant")
	// ErrInvalidTicket means that the ticket is unknown, declined, revoked, expired or of another request.
	ErrInvalidTicket = errors.New("ticket is not valid")
	// ErrFull means that the ledger is full and no record has expired; new requests are refused.
	ErrFull = errors.New("ledger is full")
)

// State is the state of a request at an agent.
type State uint8

// States of a request.
const (
	// Absent means that the ledger holds no grant of the id and no dispatch within the retention time.
	Absent State = iota
	// Granted means that a ticket is outstanding and nothing was written to the target.
	Granted
	// Running means that the request was dispatched and has not ended.
	Running
	// Ended means that the request was dispatched and has ended.
	Ended
)

// GrantRef identifies a grant by its request id and ticket. ExpireGrants returns the grants that expired without a
// body in this form; the caller frees the place in the target's window that was reserved for each.
type GrantRef struct {
	ID     ident.RequestID
	Ticket ident.Ticket
}

// Ledger holds the grants and dispatched ids of one agent. It is not safe for concurrent use.
type Ledger struct {
	retention    time.Duration
	grantTimeout time.Duration
	recordsMax   int

	// lastTicket is the ticket of the last grant. Tickets start after the boot identifier, so that those of an
	// earlier boot of the agent are never valid.
	lastTicket ident.Ticket
	grants     map[ident.RequestID]grant
	// grantOrder lists all grants, the oldest first, in the form in which ExpireGrants returns those that expire;
	// entries that are no longer in grants are skipped.
	grantOrder []GrantRef
	// dispatched holds the dispatched ids, with true while the request runs; ended lists those that ended, the
	// oldest first.
	dispatched map[ident.RequestID]bool
	ended      []endedRecord
}

type grant struct {
	ticket    ident.Ticket
	grantedAt time.Time
}

type endedRecord struct {
	id      ident.RequestID
	endedAt time.Time
}

// Option changes a limit of a Ledger.
type Option func(*Ledger)

// WithRetention sets the time for which the ids of ended requests are held.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention = d } }

// WithGrantTimeout sets the time after which an unused grant expires.
func WithGrantTimeout(d time.Duration) Option { return func(l *Ledger) { l.grantTimeout = d } }

// WithRecordsMax sets the largest number of dispatched ids held.
func WithRecordsMax(n int) Option { return func(l *Ledger) { l.recordsMax = n } }

// New returns an empty ledger for the given boot of an agent.
func New(boot ident.Boot, opts ...Option) *Ledger {
	l := &Ledger{
		retention:    Retention,
		grantTimeout: GrantTimeout,
		recordsMax:   RecordsMax,
		lastTicket:   ident.Ticket(boot),
		grants:       map[ident.RequestID]grant{},
		dispatched:   map[ident.RequestID]bool{},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}
