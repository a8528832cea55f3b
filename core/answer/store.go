// Package answer keeps the answers of one agent as numbered chunks for several readers, and puts
// the frames of one answer in order on the router's side.
package answer

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// Keep is the time after its end for which an answer is kept.
	Retention = 120 * time.Second
	// BytesMax bounds the bytes of all answers kept.
	BytesMax ident.Bytes = 64 << 20
	// ChunkMax is the largest data of a chunk; with its header it stays below the 64 KiB of a frame.
	ChunkBytesMax = 16 << 10
	// CreditMin is the smallest credit with which every chunk can be sent.
	CreditMin ident.Bytes = ChunkBytesMax
	// Room is kept free for each running answer before a new one may start.
	ReservePerAnswer ident.Bytes = 256 << 10
	// overhead is what a chunk costs in memory besides its data.
	chunkOverhead ident.Bytes = 96
	// base is what an answer costs in memory without chunks.
	answerOverhead ident.Bytes = 512
)

// Peer identifies one connection to a router; the caller numbers them and never uses a number again.
type Peer uint64

// Part is a piece of an answer as it was read from the target.
type Fragment struct {
	// Status and Type are those of the target's answer; they count in the first part only.
	Status int
	Type   string
	Data   []byte
	// Tokens counts the output tokens in Data, as far as known.
	Tokens ident.Tokens
}

// Store keeps the answers of one run of an agent. It is not safe for concurrent use.
type Store struct {
	boot      ident.Boot
	retention time.Duration
	bytesMax  ident.Bytes

	answers map[ident.RequestID]*storedAnswer
	// ended lists answers by the time of their end, the oldest first.
	ended []*storedAnswer
	// bytes counts all answers, running those that have not ended, and open their number.
	bytes        ident.Bytes
	runningBytes ident.Bytes
	runningCount int

	peers map[Peer]*peer
	// woken are peers whose answers Open dropped; the next Append or Sweep returns them.
	pendingWake []Peer
}

// kept is one answer.
type storedAnswer struct {
	id      ident.RequestID
	account ident.AccountID
	// chunks holds the chunk with sequence number i+1 at i.
	chunks []wire.Chunk
	bytes  ident.Bytes
	// end is nil while the answer runs.
	final   *wire.End
	endedAt time.Time
	// readers are the attached readers; at most one per peer.
	readers []*reader
}

// Option changes a limit of a Store.
type Option func(*Store)

// WithKeep sets the time after its end for which an answer is kept.
func WithRetention(d time.Duration) Option { return func(s *Store) { s.retention = d } }

// WithBytes sets the largest number of bytes kept.
func WithBytesMax(n ident.Bytes) Option { return func(s *Store) { s.bytesMax = n } }

// New returns an empty store for the given run of an agent.
func New(boot ident.Boot, opts ...Option) *Store {
	s := &Store{
		boot:      boot,
		retention: Retention,
		bytesMax:  BytesMax,
		answers:   map[ident.RequestID]*storedAnswer{},
		peers:     map[Peer]*peer{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Full reports whether there is no room for another running answer. While it is true no grant is given.
// Ended answers do not count, because they are dropped when room is needed.
func (s *Store) Full() bool {
	return max(s.runningBytes, ReservePerAnswer*ident.Bytes(s.runningCount))+ReservePerAnswer > s.bytesMax
}

// Has reports whether an answer is kept, running or ended.
func (s *Store) Has(id ident.RequestID) bool { return s.answers[id] != nil }

// Bytes returns the bytes kept.
func (s *Store) Bytes() ident.Bytes { return s.bytes }

// Sweep drops the answers whose time is over and returns their ids. It returns the peers that have a
// refusal to read. It is called at least once a second.
func (s *Store) Sweep(now time.Time) (dropped []ident.RequestID, wake []Peer) {
	wake = s.takePendingWake()
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) >= s.retention {
		dropped = append(dropped, s.ended[0].id)
		wake = s.dropEnded(s.ended[0], wake)
	}
	return dropped, wake
}

// take returns the peers woken since the last call.
func (s *Store) takePendingWake() (wake []Peer) {
	wake, s.pendingWake = s.pendingWake, nil
	return wake
}

// drop removes the oldest ended answer. Its readers get a refusal.
func (s *Store) dropEnded(k *storedAnswer, wake []Peer) []Peer {
	s.ended = s.ended[1:]
	s.bytes -= k.bytes
	delete(s.answers, k.id)
	for _, r := range k.readers {
		r.answer = nil
		wake = s.markReady(r, wake)
	}
	return wake
}

func goneError(detail string) *fault.Error {
	return &fault.Error{Run: fault.Unknown, Reason: fault.Gone, Detail: detail}
}
