// Package facts holds versioned facts that merge in any order, and the gossip that spreads them.
package facts

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Sorts of facts that the system uses.
const (
	// SortConfig holds the accepted configuration; ranked by its generation.
	KindConfig = "config"
	// SortBad holds versions that were judged bad; grow-only.
	KindBadVersion = "bad"
	// SortEvidence holds counters of outcomes per agent, boot and move.
	KindEvidence = "evidence"
	// SortEnd holds decided ends of moves that may not be recorded yet.
	KindConclusion = "end"
	// SortBlock holds fingerprints of requests that crash targets.
	KindBlock = "block"
	// SortDemand holds the recent demand per router and account.
	KindDemand = "demand"
	// SortFence holds the highest fencing number of a lease.
	KindFence = "fence"
)

// Rank returns the rank of a value of a ranked sort, for example the generation of a configuration.
// ok is false when the value is malformed.
type RankFunc func(value []byte) (rank uint64, ok bool)

// Rule tells how facts of one sort are kept and spread.
type Rule struct {
	// Life is the time after which a fact that was not written again is dropped; zero means never.
	TTL time.Duration
	// Rank is set for a sort with one value per key over all origins; the highest rank wins.
	Rank RankFunc
	// Urgent facts are pushed on as soon as they arrive, without waiting for the next round.
	Urgent bool
	// Pinned facts are not evicted when the table is full.
	Pinned bool
}

// repairs reports whether digests cover the sort. Facts that are rewritten within one repair
// period are left out: a digest would always differ in them.
func (r Rule) inDigest() bool { return r.TTL == 0 || r.TTL > repairRounds*RoundInterval }

// defaultRules are the rules of the known sorts. Evidence outlives the longest expected move.
func defaultRules() map[string]Rule {
	return map[string]Rule{
		KindBadVersion: {TTL: 7 * 24 * time.Hour, Urgent: true, Pinned: true},
		KindEvidence:   {TTL: 24 * time.Hour},
		KindConclusion: {TTL: 7 * 24 * time.Hour, Urgent: true},
		KindBlock:      {TTL: 10 * time.Minute, Urgent: true},
		KindDemand:     {TTL: 4 * time.Second},
		KindFence:      {TTL: 24 * time.Hour, Urgent: true},
	}
}

// defaultLife applies to sorts without a rule.
const defaultTTL = 10 * time.Minute

// Limits of a table and of its gossip.
const (
	// Round is the time between two calls of Tick.
	RoundInterval = 500 * time.Millisecond
	// Fan is the number of peers of the own region that a round reaches at most.
	Fanout = 3
	// repairRounds is the number of rounds between two digests.
	repairRounds = 10
	// hotRounds is the number of rounds for which a new fact is pushed. Four rounds to three peers
	// miss a process with a probability of about exp(-12), or exp(-9.6) at 20% loss.
	pushRounds = 4
	// beatFar is the number of rounds between two announcements of permanent values over the link.
	linkAnnounceRounds = 4
	// urgentFar is the number of rounds in which an urgent fact is sent over the region link. Sent
	// once, a verdict took up to 6.9 s to reach all of 200 processes at 20% loss.
	urgentLinkSends = 4
	// askTries bounds the requests for one value; a later announcement starts anew.
	requestTriesMax = 8
	// askWait is the time after which a value is asked for again. Two rounds left the slowest of 200
	// processes without a configuration for more than 7 s at 20% loss.
	requestTimeout = RoundInterval
	// largeMin is the value size from which a fact is announced by its mark instead of pushed, as
	// most of the peers that a round reaches have it already.
	announceBytesMin ident.Bytes = 128
	// knownMax bounds the peers remembered per fact as having it.
	knownPeersMax = 64
	// buckets is the number of hash buckets of a digest; a digest takes about 1 KB.
	bucketCount = 64
	// ValueMax is the largest value of a fact.
	ValueBytesMax ident.Bytes = 1 << 20
	// DefaultPush is the budget of a round for pushed facts, marks and digests.
	DefaultPushBudget ident.Bytes = 12 << 10
	// urgentPart is the part of the push budget that is kept for urgent facts and announcements of
	// permanent values: one part in four. Evidence of 36 agents uses up all of the rest.
	urgentReserveDivisor = 4
	// DefaultServe is the budget of a round for values that peers asked for; three of the largest.
	DefaultServeBudget ident.Bytes = 3 << 20
	// DefaultFacts bounds the number of facts held.
	DefaultEntriesMax = 1 << 16
	// DefaultBytes bounds the bytes of the facts held.
	DefaultBytesMax ident.Bytes = 32 << 20
)

// Option configures a Machine.
type Option func(*Gossiper)

// WithRule sets the rule of a sort.
func WithRule(sort string, r Rule) Option { return func(m *Gossiper) { m.rules[sort] = r } }

// WithRank makes a sort ranked, urgent and permanent, as SortConfig must be.
func WithRank(sort string, rank RankFunc) Option {
	return WithRule(sort, Rule{Rank: rank, Urgent: true, Pinned: true})
}

// WithBudget sets the bytes per round for pushes and for values that peers asked for.
func WithBudget(push, serve ident.Bytes) Option {
	return func(m *Gossiper) { m.pushBudget, m.serveBudget = push, serve }
}

// WithLimit bounds the number and the bytes of the facts held.
func WithLimit(n int, size ident.Bytes) Option {
	return func(m *Gossiper) { m.entriesMax, m.bytesMax = n, size }
}
