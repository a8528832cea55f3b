// Package budget counts the memory that a process holds on behalf of others. It does no input or output.
package budget

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// The memory that a router holds for requests and answers.
//
// Load pattern: a router takes over the callers of others, and some send bodies of megabytes. Bodies are held until their
// requests cannot be sent again, plain answers until they are complete. Both share one limit, so that the process stays
// within its memory. Large bodies have a part of it, and those of one account always leave some of that free, so that small
// bodies, of which there are many more, and other accounts find room while large ones are refused.

const (
	// answerMax limits an answer that is buffered until it is complete, in bytes.
	answerMax = 8 << 20
	// answerStep is the unit in which the memory for a buffered answer is reserved, in bytes. Most answers fit
	// into one.
	answerStep = 16 << 10
	// memoryDefault is the memory of the process in bytes where the settings do not limit it.
	memoryDefault = 512 << 20
	// totalShare is the share of the process's memory that bodies and answers may use together; answerShare, bodyShare and
	// largeShare are the shares for answers, for bodies, and for large ones among them. What answers and large bodies leave
	// of the total is for small bodies.
	totalShare  = 0.6
	answerShare = 0.15
	bodyShare   = 0.45
	largeShare  = 0.4
	// accountFactor is the multiple of the free memory for large bodies that those of one account may use.
	accountFactor = 4
	// smallBodyMax is the size of a small body in bytes.
	smallBodyMax = 64 << 10
	// bodyChunkMin and bodyChunkMax bound the pieces in which a body is read, in bytes.
	bodyChunkMin = 4 << 10
	bodyChunkMax = 64 << 10
)

// Errors of bodies and answers.
var (
	ErrAnswerTooLarge = errors.Errorf("answer of the target is larger than %d bytes", answerMax)
	ErrAnswerMemory   = errors.New("buffered answers use all memory that is reserved for them")
	ErrBodyMemory     = errors.New("bodies of requests use all memory that is reserved for them")
)

// Budget limits the memory of the bodies and the buffered answers that are held at a time. It is safe for
// concurrent use.
type Budget struct {
	totalMax, answersMax, bodiesMax, largeMax int64
	partMax, guaranteed                       int64
	// connsMax is the number of connections of callers that may be open.
	connsMax int

	// mu guards the fields below, which are in bytes.
	mu sync.Mutex
	// answers, small and large are in use for answers, for small and for large bodies; byAccount holds the large ones.
	answers, small, large int64
	byAccount             map[ident.AccountID]int64
	// parts are in use by part, of which each may use partMax and always guaranteed; owners are those who hold them.
	parts  [partCount]int64
	owners [partCount]map[*Owner]struct{}
}

// New returns the budget of a process that may use the given memory in bytes and number of descriptors; zero means that
// the settings do not limit them.
func New(memory float64, descriptors int) *Budget {
	if memory <= 0 {
		memory = memoryDefault
	}
	m := &Budget{
		totalMax: int64(totalShare * memory), answersMax: max(int64(answerShare*memory), answerMax), bodiesMax: int64(bodyShare * memory), largeMax: int64(largeShare * memory),
		partMax: int64(partShare * memory), guaranteed: int64(guaranteedShare * memory), connsMax: connsMax(memory, descriptors),
		byAccount: map[ident.AccountID]int64{},
	}
	for p := range m.owners {
		m.owners[p] = map[*Owner]struct{}{}
	}
	return m
}

// Used returns the bytes that are in use.
func (m *Budget) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}

// ReserveAnswer reserves n bytes for an answer, if there are so many.
func (m *Budget) ReserveAnswer(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answers+n > m.answersMax || m.answers+m.small+m.large+m.reserved()+n > max(m.totalMax, m.answersMax) {
		return false
	}
	m.answers += n
	return true
}

func (m *Budget) releaseAnswer(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers -= n
}

// hasRoom reports whether n bytes more fit for a body of an account that has own bytes of the memory for large ones; m.mu
// is held. The only large body, and the only one of an account, may be larger than the part that is for several.
func (m *Budget) hasRoom(a ident.AccountID, large bool, own, n int64) bool {
	switch {
	case large && m.large > own && m.large+n > m.largeMax,
		large && m.byAccount[a] > own && m.byAccount[a]+n > accountFactor*(m.largeMax-m.large-n):
		return false
	}
	return m.small+m.large+n <= m.bodiesMax && m.answers+m.small+m.large+m.reserved()+n <= m.totalMax
}

// Body is the body of a request while it may be sent. Its methods are not safe for concurrent use.
type Body struct {
	memory  *Budget
	account ident.AccountID
	// Chunks hold Size bytes.
	Chunks [][]byte
	Size   int64
	// reserved is the memory of the chunks; large is true once it counts as that of a large body.
	reserved int64
	large    bool
}

// NewBody returns an empty body. It returns ErrBodyMemory if a body of the declared length would not fit now; a negative
// one is not known.
func (m *Budget) NewBody(a ident.AccountID, declared int64) (*Body, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasRoom(a, declared > smallBodyMax, 0, max(declared, 0)) {
		return nil, ErrBodyMemory
	}
	return &Body{memory: m, account: a}, nil
}

// grow adds an empty chunk of n bytes. It returns ErrBodyMemory if there is no memory for it.
func (b *Body) grow(n int64) error {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	large, more, own := b.reserved+n > smallBodyMax, n, b.reserved
	if large && !b.large {
		more, own = b.reserved+n, 0 // counts as large from now on
		m.small -= b.reserved
	}
	if !m.hasRoom(b.account, large, own, more) {
		if large && !b.large {
			m.small += b.reserved
		}
		return ErrBodyMemory
	}
	if b.large = large; large {
		m.large += more
		m.byAccount[b.account] += more
	} else {
		m.small += more
	}
	b.reserved += n
	b.Chunks = append(b.Chunks, make([]byte, 0, n))
	return nil
}

// Fill reads the body from r, of which limit bytes are read at most; what is longer has more than limit bytes then.
func (b *Body) Fill(r io.Reader, declared, limit int64) error {
	for b.Size <= limit && b.Size != declared {
		if len(b.Chunks) == 0 || len(b.Chunks[len(b.Chunks)-1]) == cap(b.Chunks[len(b.Chunks)-1]) {
			n := min(max(b.Size, bodyChunkMin), bodyChunkMax)
			if declared >= 0 {
				n = min(declared-b.Size, bodyChunkMax)
			}
			if err := b.grow(n); err != nil {
				return err
			}
		}
		last := &b.Chunks[len(b.Chunks)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last, b.Size = (*last)[:len(*last)+n], b.Size+int64(n)
		switch {
		case err == io.EOF && b.Size < declared:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// Release gives the memory back. The body is empty then.
func (b *Body) Release() {
	if b == nil || b.reserved == 0 {
		return
	}
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !b.large {
		m.small -= b.reserved
	} else {
		m.large -= b.reserved
		if m.byAccount[b.account] -= b.reserved; m.byAccount[b.account] <= 0 {
			delete(m.byAccount, b.account)
		}
	}
	b.reserved, b.Chunks = 0, nil
}

// ReadAll reads an answer to its end. The caller calls release once it no longer needs the answer.
func (m *Budget) ReadAll(r io.Reader) (b []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { m.releaseAnswer(reserved) }
	for {
		if len(b) == cap(b) {
			step := max(int64(cap(b)), answerStep)
			if int64(len(b)) > answerMax {
				return nil, release, ErrAnswerTooLarge
			}
			if !m.ReserveAnswer(step) {
				return nil, release, ErrAnswerMemory
			}
			reserved += step
			b = append(make([]byte, 0, int64(cap(b))+step), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && len(b) > answerMax:
			return nil, release, ErrAnswerTooLarge
		case err == io.EOF:
			return b, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}
