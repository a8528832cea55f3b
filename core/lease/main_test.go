package lease_test

import (
	"flag"
	"os"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that they give the same verdict every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "1s", "rapid.steps": "150", "rapid.checks": "500"} {
		if f := flag.Lookup(k); f.Value.String() == f.DefValue {
			_ = flag.Set(k, v)
		}
	}
	os.Exit(m.Run())
}

// sink takes the failure of a property that is expected to fail.
type sink struct {
	testing.TB
	failed bool
}

func (s *sink) Logf(string, ...any)   {}
func (s *sink) Errorf(string, ...any) { s.failed = true }
func (s *sink) Fatalf(string, ...any) { s.failed = true; runtime.Goexit() }
func (s *sink) FailNow()              { s.failed = true; runtime.Goexit() }
func (s *sink) Fail()                 { s.failed = true }
func (s *sink) Failed() bool          { return s.failed }

// catches reports whether the property fails, as it must when a fault is planted in it.
func catches(t *testing.T, prop func(*rapid.T)) bool {
	s := &sink{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(s, prop)
	}()
	<-done
	return s.failed
}
