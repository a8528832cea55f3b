// Package answer stores the answers of one agent as numbered chunks for several readers, and reassembles the
// frames of one answer in order at the router.
package answer

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// Retention is the time for which an answer is stored after its end.
	Retention = 120 * time.Second
	// BytesMax bounds the bytes of all stored answers.
	BytesMax ident.Bytes = 64 << 20
	// ChunkBytesMax is the largest size of a chunk's data; with its header it stays below the 64 KiB of a frame.
	ChunkBytesMax = 16 << 10
	// CreditMin is the smallest credit that suffices for every chunk.
	CreditMin ident.Bytes = ChunkBytesMax
	// ReservePerAnswer is the number of bytes reserved for each running answer before a new one may start.
	ReservePerAnswer ident.Bytes = 256 << 10
	// chunkOverhead is the memory that a chunk takes besides its data.
	chunkOverhead ident.Bytes = 96
	// answerOverhead is the memory that an answer takes without its chunks.
	answerOverhead ident.Bytes = 512
)

// Peer identifies one connection to a router; the caller assigns the numbers and never reuses one.
type Peer uint64

// Fragment is a piece of an answer as it was read from the target.
type Fragment struct {
	// Status and ContentType are those of the answer; only those of the first fragment are used.
	Status      int
	ContentType string
	Data        []byte
	// Tokens is the number of output tokens in Data, as far as known.
	Tokens ident.Tokens
}

// Store holds the answers of one boot of an agent. It is not safe for concurrent use.
type Store struct {
	boot      ident.Boot
	retention time.Duration
	bytesMax  ident.Bytes

	answers map[ident.RequestID]*storedAnswer
	// ended lists the ended answers by the time of their end, the oldest first.
	ended []*storedAnswer
	// bytes is the size of all answers, runningBytes that of the answers that have not ended, and runningCount the
	// number of the latter.
	bytes        ident.Bytes
	runningBytes ident.Bytes
	runningCount int

	peers map[Peer]*peerReaders
	// pendingWake holds the peers whose answers Open dropped; the next Append or Sweep returns them.
	pendingWake []Peer
}

// storedAnswer is one answer, running or ended.
type storedAnswer struct {
	id      ident.RequestID
	account ident.AccountID
	// chunks holds the chunk with sequence number i+1 at i.
	chunks []wire.Chunk
	bytes  ident.Bytes
	// final is the End message of the answer, or nil while the answer runs.
	final   *wire.End
	endedAt time.Time
	// readers are the attached readers, at most one per peer.
	readers []*attachedReader
}

// Option changes a limit of a Store.
type Option func(*Store)

// WithRetention sets the time for which an answer is stored after its end.
func WithRetention(d time.Duration) Option { return func(s *Store) { s.retention = d } }

// WithBytesMax sets the largest number of bytes stored.
func WithBytesMax(n ident.Bytes) Option { return func(s *Store) { s.bytesMax = n } }

// New returns an empty store for the given boot of an agent.
func New(boot ident.Boot, opts ...Option) *Store {
	s := &Store{
		boot:      boot,
		retention: Retention,
		bytesMax:  BytesMax,
		answers:   map[ident.RequestID]*storedAnswer{},
		peers:     map[Peer]*peerReaders{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Full reports whether another running answer would exceed the limit. While it is true, the agent grants no
// offers. Ended answers do not count, because they are dropped when space is needed.
func (s *Store) Full() bool {
	return max(s.runningBytes, ReservePerAnswer*ident.Bytes(s.runningCount))+ReservePerAnswer > s.bytesMax
}

// Has reports whether an answer is stored, running or ended.
func (s *Store) Has(id ident.RequestID) bool { return s.answers[id] != nil }

// Bytes returns the number of bytes stored.
func (s *Store) Bytes() ident.Bytes { return s.bytes }

// Sweep drops the answers whose retention time has passed. It returns their ids and the peers that have a refusal
// to read. It is called at least once a second.
func (s *Store) Sweep(now time.Time) (dropped []ident.RequestID, wake []Peer) {
	wake = s.takePendingWake()
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) >= s.retention {
		dropped = append(dropped, s.ended[0].id)
		wake = s.dropEnded(s.ended[0], wake)
	}
	return dropped, wake
}

// takePendingWake returns the peers of pendingWake and clears it.
func (s *Store) takePendingWake() (wake []Peer) {
	wake, s.pendingWake = s.pendingWake, nil
	return wake
}

// dropEnded removes the oldest ended answer, which is passed as argument. Its readers get a refusal.
func (s *Store) dropEnded(ans *storedAnswer, wake []Peer) []Peer {
	s.ended = s.ended[1:]
	s.bytes -= ans.bytes
	delete(s.answers, ans.id)
	for _, r := range ans.readers {
		r.answer = nil
		wake = s.markReady(r, wake)
	}
	return wake
}

func goneError(detail string) *fault.Error {
	return &fault.Error{Run: fault.Unknown, Reason: fault.Gone, Detail: detail}
}
