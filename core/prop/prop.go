// Package prop supports tests: property tests with a fixed seed, properties that are expected to fail, and free
// addresses for the processes that a test starts.
package prop

import (
	"flag"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// defaults are the flags of rapid that make tests give the same result on every run.
var defaults = []string{"rapid.seed=1", "rapid.nofailfile=true", "rapid.shrinktime=1s"}

// Run runs the tests of a package with the defaults and further flags of the form NAME=VALUE, and returns their exit
// code. Flags given on the command line take precedence.
func Run(m *testing.M, flags ...string) int {
	flag.Parse()
	for _, kv := range append(flags, defaults...) {
		k, v, _ := strings.Cut(kv, "=")
		if f := flag.Lookup(k); f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(k, v) // the values are well-formed
		}
	}
	return m.Run()
}

// failureRecorder records the failure of a property that is expected to fail.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (s *failureRecorder) Logf(string, ...any)   {}
func (s *failureRecorder) Errorf(string, ...any) { s.failed = true }
func (s *failureRecorder) Fatalf(string, ...any) { s.failed = true; runtime.Goexit() }
func (s *failureRecorder) FailNow()              { s.failed = true; runtime.Goexit() }
func (s *failureRecorder) Fail()                 { s.failed = true }
func (s *failureRecorder) Failed() bool          { return s.failed }

// Fails reports whether the property fails, as it must when a defect is injected into the code under test.
func Fails(t *testing.T, property func(*rapid.T)) bool {
	s := &failureRecorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(s, property)
	}()
	<-done
	return s.failed
}
