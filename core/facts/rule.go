// Package facts holds versioned facts that merge in any order, and the gossip that spreads them.
package facts

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Sorts of facts that the system uses.
const (
	// SortConfig holds the accepted configuration; ranked by its generation.
	SortConfig = "config"
	// SortBad holds versions that were judged bad; grow-only.
	SortBad = "bad"
	// SortEvidence holds counters of outcomes per agent, boot and move.
	SortEvidence = "evidence"
	// SortEnd holds decided ends of moves that may not be recorded yet.
	SortEnd = "end"
	// SortBlock holds fingerprints of requests that crash targets.
	SortBlock = "block"
	// SortDemand holds the recent demand per router and account.
	SortDemand = "demand"
	// SortFence holds the highest fencing number of a lease.
	SortFence = "fence"
)

// Rank returns the rank of a value of a ranked sort, for example the generation of a configuration.
// ok is false when the value is malformed.
type Rank func(value []byte) (rank uint64, ok bool)

// Rule tells how facts of one sort are kept and spread.
type Rule struct {
	// Life is the time after which a fact that was not written again is dropped; zero means never.
	Life time.Duration
	// Rank is set for a sort with one value per key over all origins; the highest rank wins.
	Rank Rank
	// Urgent facts are pushed on as soon as they arrive, without waiting for the next round.
	Urgent bool
	// Pinned facts are not evicted when the table is full.
	Pinned bool
}

// repairs reports whether digests cover the sort. Facts that are rewritten within one repair
// period are left out: a digest would always differ in them.
func (r Rule) repairs() bool { return r.Life == 0 || r.Life > repairRounds*Round }

// defaultRules are the rules of the known sorts. Evidence outlives the longest expected move.
func defaultRules() map[string]Rule {
	return map[string]Rule{
		SortBad:      {Life: 7 * 24 * time.Hour, Urgent: true, Pinned: true},
		SortEvidence: {Life: 24 * time.Hour},
		SortEnd:      {Life: 7 * 24 * time.Hour, Urgent: true},
		SortBlock:    {Life: 10 * time.Minute, Urgent: true},
		SortDemand:   {Life: 4 * time.Second},
		SortFence:    {Life: 24 * time.Hour, Urgent: true},
	}
}

// defaultLife applies to sorts without a rule.
const defaultLife = 10 * time.Minute

// Limits of a table and of its gossip.
const (
	// Round is the time between two calls of Tick.
	Round = 500 * time.Millisecond
	// Fan is the number of peers of the own region that a round reaches at most.
	Fan = 3
	// repairRounds is the number of rounds between two digests.
	repairRounds = 10
	// hotRounds is the number of rounds for which a new fact is pushed. Four rounds to three peers
	// miss a process with a probability of about exp(-12), or exp(-9.6) at 20% loss.
	hotRounds = 4
	// beatFar is the number of rounds between two announcements of permanent values over the link.
	beatFar = 4
	// urgentFar is the number of rounds in which an urgent fact is sent over the region link. Sent
	// once, a verdict took up to 6.9 s to reach all of 200 processes at 20% loss.
	urgentFar = 4
	// askTries bounds the requests for one value; a later announcement starts anew.
	askTries = 8
	// askWait is the time after which a value is asked for again. Two rounds left the slowest of 200
	// processes without a configuration for more than 7 s at 20% loss.
	askWait = Round
	// largeMin is the value size from which a fact is announced by its mark instead of pushed, as
	// most of the peers that a round reaches have it already.
	largeMin ident.Bytes = 128
	// knownMax bounds the peers remembered per fact as having it.
	knownMax = 64
	// buckets is the number of hash buckets of a digest; a digest takes about 1 KB.
	buckets = 64
	// ValueMax is the largest value of a fact.
	ValueMax ident.Bytes = 1 << 20
	// DefaultPush is the budget of a round for pushed facts, marks and digests.
	DefaultPush ident.Bytes = 12 << 10
	// urgentPart is the part of the push budget that is kept for urgent facts and announcements of
	// permanent values: one part in four. Evidence of 36 agents uses up all of the rest.
	urgentPart = 4
	// DefaultServe is the budget of a round for values that peers asked for; three of the largest.
	DefaultServe ident.Bytes = 3 << 20
	// DefaultFacts bounds the number of facts held.
	DefaultFacts = 1 << 16
	// DefaultBytes bounds the bytes of the facts held.
	DefaultBytes ident.Bytes = 32 << 20
)

// Option configures a Machine.
type Option func(*Machine)

// WithRule sets the rule of a sort.
func WithRule(sort string, r Rule) Option { return func(m *Machine) { m.rules[sort] = r } }

// WithRank makes a sort ranked, urgent and permanent, as SortConfig must be.
func WithRank(sort string, rank Rank) Option {
	return WithRule(sort, Rule{Rank: rank, Urgent: true, Pinned: true})
}

// WithBudget sets the bytes per round for pushes and for values that peers asked for.
func WithBudget(push, serve ident.Bytes) Option {
	return func(m *Machine) { m.push, m.serve = push, serve }
}

// WithLimit bounds the number and the bytes of the facts held.
func WithLimit(n int, size ident.Bytes) Option {
	return func(m *Machine) { m.countMax, m.sizeMax = n, size }
}
