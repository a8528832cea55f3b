package direct

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// answerMax limits an answer that is buffered until it is complete, in bytes.
	answerMax = 8 << 20
	// answerStep is the unit in which the memory for a buffered answer is reserved, in bytes. Most answers fit
	// into one.
	answerStep = 16 << 10
	// answerMemoryShare is the share of the process's memory that buffered answers may use together.
	answerMemoryShare = 0.15
	// answerMemoryDefault is that memory in bytes where the settings do not limit the memory of the process.
	answerMemoryDefault = 64 << 20
)

var (
	errAnswerTooLarge = errors.Errorf("answer of the target is larger than %d bytes", answerMax)
	errAnswerMemory   = errors.New("buffered answers use all memory that is reserved for them")
)

// answerBudget limits the memory of all answers that are buffered at a time. It is safe for concurrent use.
type answerBudget struct {
	max  int64
	used atomic.Int64
}

func newAnswerBudget(memoryMB float64) *answerBudget {
	if memoryMB <= 0 {
		return &answerBudget{max: answerMemoryDefault}
	}
	return &answerBudget{max: max(int64(answerMemoryShare*memoryMB*(1<<20)), answerMax)}
}

// readAll reads an answer to its end. The caller calls release once it no longer needs the answer.
func (g *answerBudget) readAll(r io.Reader) (b []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { g.used.Add(-reserved) }
	for {
		if len(b) == cap(b) {
			step := max(int64(cap(b)), answerStep)
			if int64(len(b)) > answerMax {
				return nil, release, errAnswerTooLarge
			}
			if reserved += step; g.used.Add(step) > g.max {
				return nil, release, errAnswerMemory
			}
			b = append(make([]byte, 0, int64(cap(b))+step), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && len(b) > answerMax:
			return nil, release, errAnswerTooLarge
		case err == io.EOF:
			return b, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}
