package direct_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// restore makes the store of e come back from a copy after a short outage.
func (e *env) restore(restore func()) {
	e.store.SetOutage(true)
	time.Sleep(50 * time.Millisecond)
	restore()
	e.store.SetOutage(false)
}

// Guards against a restore that cannot be told from an ordinary return of the store.
func TestRestoreIsLogged(t *testing.T) {
	e := newEnv(t)
	c := e.store.Copy()
	e.putObject("other", "o", 1)
	e.runRouter(t, e.store)
	e.restore(func() { e.store.Restore(c) })
	e.g.Eventually(e.log.String, 3*time.Second).Should(MatchRegexp(`event=310 sort=targets before=\S+ rev=\S+ objects=0`))
}
