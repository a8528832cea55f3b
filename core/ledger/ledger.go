// Package ledger records, in the memory of one agent, which offers were granted and which requests
// were dispatched to the target, and holds the claims of keyed requests for other routers.
package ledger

import (
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

const (
	// Retention is the time after the end of a request during which its id is not dispatched again.
	// It exceeds the 120 s for which answers are kept, so that a resend learns that the request ran.
	Retention = 15 * time.Minute
	// GrantTime is the time after which an unanswered grant expires.
	GrantTimeout = time.Second
	// RecordsMax bounds the dispatched ids held, about 10 MB. One target serves a few requests per
	// second, which is a few thousand ids within Retention.
	RecordsMax = 1 << 16
)

// Errors of a Ledger. After each of them nothing may be written to the target.
var (
	// ErrDispatched means that the id was dispatched before, within the retention time.
	ErrAlreadyDispatched = errors.New("request was dispatched before")
	// ErrGranted means that a grant for the id is outstanding.
	ErrAlreadyGranted = errors.New("request has an outstanding grant")
	// ErrTicket means that the ticket is unknown, declined, expired or of another request.
	ErrInvalidTicket = errors.New("ticket is not valid")
	// ErrFull means that no record can be forgotten yet; new work is refused.
	ErrFull = errors.New("ledger is full")
)

// State is what a ledger knows of a request.
type State uint8

// States of a request.
const (
	// Absent means that the agent holds no grant and no dispatch of the id within the retention time.
	Absent State = iota
	// Granted means that a ticket is outstanding and nothing was written to the target.
	Granted
	// Running means that the request was dispatched and has not ended.
	Running
	// Ended means that the request was dispatched and has ended.
	Ended
)

// Lapsed is a grant that expired without a body; its room in the window is to be freed.
type ExpiredGrant struct {
	ID     ident.RequestID
	Ticket ident.Ticket
}

// Ledger is the record of one agent. It is not safe for concurrent use.
type Ledger struct {
	retention    time.Duration
	grantTimeout time.Duration
	recordsMax   int

	// next is the ticket of the next grant. Tickets start at the boot identifier, so that those of an
	// earlier run of the agent are never valid.
	lastTicket ident.Ticket
	grants     map[ident.RequestID]grant
	// order lists grants from the oldest; entries that are no longer in grants are skipped.
	grantOrder []ExpiredGrant
	// ran holds dispatched ids; ended lists those that ended, from the oldest.
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

// WithRetention sets the time for which ended requests are remembered.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention = d } }

// WithGrantTime sets the time after which an unanswered grant expires.
func WithGrantTimeout(d time.Duration) Option { return func(l *Ledger) { l.grantTimeout = d } }

// WithRecords sets the largest number of dispatched ids held.
func WithRecordsMax(n int) Option { return func(l *Ledger) { l.recordsMax = n } }

// New returns an empty ledger for the given run of an agent.
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
