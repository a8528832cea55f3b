package prefix

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Load pattern: prompts that begin with one of 1 to 80 shared parts, sessions whose prompts grow, and targets whose
// memory is taken up by other prompts within seconds. Targets do not state what they hold, so the model derives it from
// what was read there, and forgets a part when as many tokens have passed through the target as its memory holds.

const (
	// partsMax bounds the parts that are known of one target: 80 shared parts of several kinds of requests and the
	// latest parts of sessions. They take up to 80 bytes each, 12 MB for 300 targets.
	partsMax = 512
	// defaultMemory is assumed, in tokens, for a target whose memory is not stated; it is less than that of any known
	// target.
	defaultMemory ident.Tokens = 100_000
	// certainFraction is the fraction of the memory up to which passed tokens leave a part in place. Beyond it the
	// estimate decreases to zero at the whole memory, as what other routers sent is known late.
	certainFraction = 0.5
	// reportedMax bounds the reads in one report, and reportTime is the time for which a read is reported: reports of
	// some tens of routers are up to 2 s apart, and some are lost.
	reportedMax = 32
	reportTime  = 4 * time.Second
)

// Start identifies what a target's memory belongs to: a start of its process with a version of the weights.
type Start struct {
	Boot    ident.Boot
	Version ident.Version
}

// Model estimates which parts each target of a service holds. A nil Model knows nothing and learns nothing. It is not
// safe for concurrent use.
type Model struct {
	targets map[ident.TargetID]*target
	// recent holds the latest reads of this router, the oldest first.
	recent []Read
}

// target is what is known of one start of a target.
type target struct {
	start  Start
	memory ident.Tokens
	// lost is true from the end of the process until something is read at the target again or it has a new start.
	lost     bool
	contents Contents
	// uses holds, by block, the value of passed at the last use of the part. It has the blocks of contents.
	uses map[ident.Block]ident.Tokens
	// passed is the number of tokens that have entered the memory since the start, as far as it is known; own is the
	// part of this router, and peers holds what the other routers last reported.
	passed, own ident.Tokens
	peers       map[ident.ProcessID]ident.Tokens
}

// Read is a part that a router's request has read at a target.
type Read struct {
	Target ident.TargetID
	Start  Start
	Block  ident.Block
	at     time.Time
}

// Passed is the number of tokens that a router's requests have brought to a target since its start.
type Passed struct {
	Target ident.TargetID
	Start  Start
	Tokens ident.Tokens
}

// Report is what a router tells the others.
type Report struct {
	Reads  []Read
	Passed []Passed
}

// New returns a model without targets.
func New() *Model { return &Model{targets: map[ident.TargetID]*target{}} }

// SetTarget adds a target or updates its memory. With a new start nothing is known of it.
func (m *Model) SetTarget(id ident.TargetID, s Start, memory ident.Tokens) {
	if m == nil {
		return
	}
	if memory <= 0 {
		memory = defaultMemory
	}
	if t, ok := m.targets[id]; ok && t.start == s {
		t.memory = memory
		return
	}
	t := &target{start: s, memory: memory}
	t.clear()
	m.targets[id] = t
}

func (t *target) clear() {
	t.contents, t.uses, t.peers = NewContents(partsMax), map[ident.Block]ident.Tokens{}, map[ident.ProcessID]ident.Tokens{}
	t.passed, t.own = 0, 0
}

// RemoveTarget forgets a target.
func (m *Model) RemoveTarget(id ident.TargetID) {
	if m != nil {
		delete(m.targets, id)
	}
}

// Lose forgets what a target holds whose process may have ended. Reports of others about it are ignored until it is
// certain that it runs.
func (m *Model) Lose(id ident.TargetID) {
	if m == nil {
		return
	}
	if t, ok := m.targets[id]; ok && !t.lost {
		t.clear()
		t.lost = true
	}
}

// RecordRead records that a request which was sent to a start of a target has read its prompt there. tokens is the
// memory that the request takes.
func (m *Model) RecordRead(now time.Time, id ident.TargetID, s Start, chain []Link, tokens ident.Tokens) {
	if m == nil {
		return
	}
	t, ok := m.targets[id]
	if !ok || t.start != s {
		return
	}
	t.lost = false
	t.pass(tokens)
	t.own += tokens
	for _, l := range chain {
		t.use(l.Block)
		m.recent = slices.DeleteFunc(m.recent, func(r Read) bool { return r.Target == id && r.Block == l.Block })
		if len(m.recent) == reportedMax {
			m.recent = slices.Delete(m.recent, 0, 1)
		}
		m.recent = append(m.recent, Read{Target: id, Start: s, Block: l.Block, at: now})
	}
}

// pass counts tokens that entered the memory.
func (t *target) pass(n ident.Tokens) { t.passed += max(n, 0) }

// use records the use of a part, in place of the part that was used least recently if there are too many.
func (t *target) use(b ident.Block) {
	t.contents.Remove(b)
	if old, ok := t.contents.Add(b); ok {
		delete(t.uses, old)
	}
	t.uses[b] = t.passed
}

// Held estimates how many leading tokens of a prompt the target holds: the length of each part times the probability
// that it and all parts before it are held.
func (m *Model) Held(id ident.TargetID, chain []Link) ident.Tokens {
	if m == nil || len(chain) == 0 {
		return 0
	}
	t, ok := m.targets[id]
	if !ok {
		return 0
	}
	sum, chance := 0.0, 1.0
	for _, l := range chain {
		if chance = min(chance, t.chance(l.Block)); chance == 0 {
			break
		}
		sum += chance * float64(max(l.Tokens, 0))
	}
	return ident.Tokens(sum)
}

// chance returns the probability that a part is held.
func (t *target) chance(b ident.Block) float64 {
	if !t.contents.Has(b) {
		return 0
	}
	filled := float64(t.passed-t.uses[b]) / float64(t.memory)
	return min(max((1-filled)/(1-certainFraction), 0), 1)
}

// Report returns what to tell the other routers.
func (m *Model) Report(now time.Time) (r Report) {
	if m == nil {
		return r
	}
	m.recent = slices.DeleteFunc(m.recent, func(r Read) bool {
		t, ok := m.targets[r.Target]
		return now.Sub(r.at) >= reportTime || !ok || t.start != r.Start || t.lost
	})
	r.Reads = slices.Clone(m.recent)
	for id, t := range m.targets {
		if t.own > 0 {
			r.Passed = append(r.Passed, Passed{Target: id, Start: t.start, Tokens: t.own})
		}
	}
	slices.SortFunc(r.Passed, func(a, b Passed) int { return cmp.Compare(a.Target, b.Target) })
	return r
}

// Merge applies the report of another router. What it says of another start of a target is ignored. Of a router that was
// not heard before, only later tokens are counted.
func (m *Model) Merge(from ident.ProcessID, r Report) {
	if m == nil {
		return
	}
	for _, p := range r.Passed {
		t, ok := m.targets[p.Target]
		if !ok || t.start != p.Start || t.lost {
			continue
		}
		last, known := t.peers[from]
		if p.Tokens < last {
			last = 0 // the router has started again
		}
		if t.peers[from] = p.Tokens; known {
			t.pass(p.Tokens - last)
		}
	}
	for _, read := range r.Reads {
		if t, ok := m.targets[read.Target]; ok && t.start == read.Start && !t.lost {
			t.use(read.Block)
		}
	}
}

// RemoveRouter forgets what another router reported of itself.
func (m *Model) RemoveRouter(id ident.ProcessID) {
	if m == nil {
		return
	}
	for _, t := range m.targets {
		delete(t.peers, id)
	}
}
