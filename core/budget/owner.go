package budget

import "time"

// The memory that connections hold beside bodies and answers.
//
// Load pattern: clients open hundreds of connections and send header sections of many short lines, which take ten times
// their size once they are parsed, or do not read their answers. A part that finds no memory takes it from the owner that
// holds the most without progress. The only header section may use more than the part, so that a single request is not
// refused for its number of lines.

// Part is a use of memory beside bodies and answers.
type Part uint8

// Parts.
const (
	// Heads are the header sections of requests, from their first byte to the end of the request.
	Heads Part = iota
	// Unread are the bytes of answers that slow readers have not read.
	Unread
	partCount
)

const (
	// partShare is the share of the process's memory that one part may use; guaranteedShare is what the other parts,
	// bodies and answers leave to it.
	partShare       = 0.12
	guaranteedShare = 0.05
	// byteCost and lineCost are the memory of a header section per byte and per line, in bytes. Measured for lines with
	// different names and no value: 101 bytes for the parsed line, the same for the copy that is sent to a target, and
	// 85 bytes that are freed while it is parsed. One long line is copied into a buffer that grows five times.
	byteCost = 4
	lineCost = 288
	// headIncluded is the memory of a header section that is part of the cost of a connection, in bytes: that of some
	// fifteen lines, so that ordinary requests reserve nothing.
	headIncluded = 6 << 10
	// candidatesMax limits the owners that are compared when memory runs short.
	candidatesMax = 64
	// victimsMax limits the owners that are evicted for one reservation.
	victimsMax = 4
	// victimFactor is the multiple of its own memory that another owner must hold to be evicted for the header section
	// of an owner.
	victimFactor = 2
)

// HeadCost returns the memory of a header section of the given bytes and lines beyond that which is part of the cost of its
// connection.
func HeadCost(bytes, lines int) int64 {
	return max(0, byteCost*int64(bytes)+lineCost*int64(lines)-headIncluded)
}

// Owner holds memory. Its fields are guarded by the lock of the budget.
type Owner struct {
	held [partCount]int64
	// progress is the last time at which its client read a part of an answer, or at which it began to hold one. busy is
	// true while it waits for nothing from its client.
	progress time.Time
	busy     bool
	// evict ends the owner; it must not block, nor call the budget.
	evict func()
}

// NewOwner returns an owner that holds nothing. evict ends it; it must not block, nor call the budget.
func NewOwner(evict func()) *Owner { return &Owner{evict: evict} }

// Reserve reserves n bytes more for an owner, for which it may evict others. It reports whether they are reserved.
func (m *Budget) Reserve(now time.Time, o *Owner, p Part, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range victimsMax {
		if m.fits(o, p, n) {
			m.add(o, p, n)
			if p == Heads {
				o.busy = false
			}
			if o.held[p] == n {
				o.progress = now
			}
			return true
		}
		v := m.victim(now, o, p, n)
		if v == nil {
			return false
		}
		m.drop(v)
		v.evict()
	}
	return false
}

// Resize sets what an owner holds of a part to n bytes if that is less than it holds.
func (m *Budget) Resize(o *Owner, p Part, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := n - o.held[p]; d < 0 {
		m.add(o, p, d)
	}
}

// SetBusy records that an owner waits for nothing from its client, until it reserves memory for a header section again.
func (m *Budget) SetBusy(o *Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o.busy = true
}

// Read records that a slow reader has read a part of its answer, and releases n bytes.
func (m *Budget) Read(now time.Time, o *Owner, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(o, Unread, -min(n, o.held[Unread])) // it is evicted already if it holds less
	o.progress = now
}

// Drop releases all that an owner holds.
func (m *Budget) Drop(o *Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(o)
}

func (m *Budget) drop(o *Owner) {
	for p := range partCount {
		m.add(o, p, -o.held[p])
	}
}

// add changes what an owner holds of a part; m.mu is held.
func (m *Budget) add(o *Owner, p Part, n int64) {
	o.held[p] += n
	m.parts[p] += n
	if o.held[p] > 0 {
		m.owners[p][o] = struct{}{}
	} else {
		delete(m.owners[p], o)
	}
}

// fits reports whether an owner may hold n bytes more of a part; m.mu is held.
func (m *Budget) fits(o *Owner, p Part, n int64) bool {
	if m.used()+n > m.totalMax {
		return m.parts[p]+n <= m.guaranteed
	}
	return m.parts[p]+n <= m.partMax || p == Heads && m.parts[p] == o.held[p]
}

// victim returns the owner that is to be evicted for n bytes more of an owner, or nil; m.mu is held. For a slow reader,
// that is the one which has held the most for the longest, which may be the owner itself. For a header section, it is the
// one that holds the most of those that hold much more and wait for their clients.
func (m *Budget) victim(now time.Time, o *Owner, p Part, n int64) *Owner {
	var best *Owner
	var most float64
	seen := 0
	for v := range m.owners[p] {
		if seen++; seen > candidatesMax {
			break
		}
		score := float64(v.held[p])
		switch {
		case p == Unread:
			score *= now.Sub(v.progress).Seconds()
		case v.busy || v.held[p] < victimFactor*(o.held[p]+n):
			continue
		}
		if score > most {
			best, most = v, score
		}
	}
	if best == o {
		return nil
	}
	return best
}

// used returns the bytes that are in use; m.mu is held.
func (m *Budget) used() int64 {
	n := m.answers + m.small + m.large
	for _, x := range m.parts {
		n += x
	}
	return n
}

// reserved returns what is in use by all parts or guaranteed to them; m.mu is held.
func (m *Budget) reserved() int64 {
	n := int64(0)
	for _, x := range m.parts {
		n += max(x, m.guaranteed)
	}
	return n
}
