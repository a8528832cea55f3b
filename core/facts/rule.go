// Package facts holds the versioned gossip entries known to one process, which merge in any order, and implements
// the gossip protocol that distributes them. Each router and agent runs one Gossiper, set up by core/active, and
// carries its messages over its own connections.
package facts

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Kinds of entries that the system uses.
const (
	// KindConfig holds the accepted configuration, ranked by its generation.
	KindConfig = "config"
	// KindBadVersion holds versions that were judged bad; entries are only ever added.
	KindBadVersion = "bad"
	// KindEvidence holds counters of outcomes per agent, boot and rollout.
	KindEvidence = "evidence"
	// KindConclusion holds conclusions of rollouts that may not be recorded in the store yet.
	KindConclusion = "end"
	// KindBlock holds fingerprints of requests that crash targets.
	KindBlock = "block"
	// KindPoison holds crashes of targets with the requests that ran there, and what follows from them.
	KindPoison = "poison"
	// KindDemand holds the recent demand per router and account.
	KindDemand = "demand"
	// KindFence holds the highest fencing token of a lease.
	KindFence = "fence"
)

// RankFunc returns the rank of a value of a ranked kind, for example the generation of a configuration. ok is
// false when the value is malformed.
type RankFunc func(value []byte) (rank uint64, ok bool)

// Rule sets how entries of one kind are retained and distributed.
type Rule struct {
	// TTL is the time after which an entry that was not written again expires; zero means never.
	TTL time.Duration
	// Rank is set for a kind with one value per key over all origins; the highest rank wins.
	Rank RankFunc
	// Urgent entries are forwarded as soon as they arrive instead of in the next round.
	Urgent bool
	// Pinned entries are not evicted when the table is full.
	Pinned bool
}

// inDigest reports whether digests cover the kind. A kind whose entries expire within one repair period of
// repairRounds rounds is excluded: its entries are rewritten within that time, so a digest would always differ in
// them.
func (r Rule) inDigest() bool { return r.TTL == 0 || r.TTL > repairRounds*RoundInterval }

// defaultRules returns the rules of the known kinds. Evidence is retained for longer than the longest expected
// rollout.
func defaultRules() map[string]Rule {
	return map[string]Rule{
		KindBadVersion: {TTL: 7 * 24 * time.Hour, Urgent: true, Pinned: true},
		KindEvidence:   {TTL: 24 * time.Hour},
		KindConclusion: {TTL: 7 * 24 * time.Hour, Urgent: true},
		KindBlock:      {TTL: 10 * time.Minute, Urgent: true},
		KindPoison:     {TTL: 10 * time.Minute, Urgent: true},
		KindDemand:     {TTL: 4 * time.Second},
		KindFence:      {TTL: 24 * time.Hour, Urgent: true},
	}
}

// defaultTTL applies to kinds without a rule.
const defaultTTL = 10 * time.Minute

// Limits of the table of entries and of the gossip.
const (
	// RoundInterval is the time between two calls of Tick.
	RoundInterval = 500 * time.Millisecond
	// Fanout is the largest number of peers of the same region to which one round pushes.
	Fanout = 3
	// repairRounds is the number of rounds between two digests.
	repairRounds = 10
	// pushRounds is the number of rounds for which a new entry is pushed. Four rounds to three peers miss a
	// process with a probability of about exp(-12), or exp(-9.6) at 20% loss.
	pushRounds = 4
	// linkAnnounceRounds is the number of rounds between two announcements of ranked entries over the region
	// link.
	linkAnnounceRounds = 4
	// urgentLinkSends is the number of times that an urgent entry is sent over the region link. With a single
	// send, an entry of KindBadVersion took up to 6.9 s to reach all of 200 processes at 20% loss.
	urgentLinkSends = 4
	// requestTriesMax is the largest number of requests for one value; a later announcement starts a new
	// series.
	requestTriesMax = 8
	// requestTimeout is the time after which a request for a value is repeated. At two rounds, the slowest of
	// 200 processes had no configuration for more than 7 s at 20% loss.
	requestTimeout = RoundInterval
	// announceBytesMin is the value size from which only the digest entry of an entry is sent, not its value,
	// because most of the peers that a round reaches already have the value.
	announceBytesMin ident.Bytes = 128
	// knownPeersMax is the largest number of peers recorded per entry as having it.
	knownPeersMax = 64
	// bucketCount is the number of hash buckets of a digest; a digest takes about 1 KB.
	bucketCount = 64
	// ValueBytesMax is the largest value of an entry.
	ValueBytesMax ident.Bytes = 1 << 20
	// DefaultPushBudget is the budget of a round for pushed entries, digest entries and digests.
	DefaultPushBudget ident.Bytes = 12 << 10
	// urgentReserveDivisor sets the part of the push budget that is reserved for urgent entries and
	// announcements of ranked entries: a quarter. Evidence of 36 agents uses up all of the rest.
	urgentReserveDivisor = 4
	// DefaultServeBudget is the budget of a round for values that peers requested: three of the largest values.
	DefaultServeBudget ident.Bytes = 3 << 20
	// DefaultEntriesMax is the default limit on the number of entries held.
	DefaultEntriesMax = 1 << 16
	// DefaultBytesMax is the default limit on the total size of the entries held.
	DefaultBytesMax ident.Bytes = 32 << 20
)

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithRule sets the rule of a kind.
func WithRule(kind string, r Rule) Option { return func(g *Gossiper) { g.rules[kind] = r } }

// WithRank makes a kind ranked, urgent, pinned and without expiry, as KindConfig must be.
func WithRank(kind string, rank RankFunc) Option {
	return WithRule(kind, Rule{Rank: rank, Urgent: true, Pinned: true})
}

// WithBudget sets the bytes per round for pushes and for values that peers requested.
func WithBudget(push, serve ident.Bytes) Option {
	return func(g *Gossiper) { g.pushBudget, g.serveBudget = push, serve }
}

// WithLimit limits the number and the total size of the entries held.
func WithLimit(n int, size ident.Bytes) Option {
	return func(g *Gossiper) { g.entriesMax, g.bytesMax = n, size }
}
