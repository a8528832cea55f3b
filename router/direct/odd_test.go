package direct_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
	"hickoryvane.example/router/direct"
)

// oddStore is a store whose watches of targets begin with a change that cannot be read.
type oddStore struct {
	*memory.Store
	lists atomic.Int32
}

// List implements store.Store.
func (o *oddStore) List(ctx context.Context, kind string) ([]store.Object, store.Rev, error) {
	l, rev, err := o.Store.List(ctx, kind)
	if kind == "targets" {
		o.lists.Add(1)
		l = append(l, store.Object{Kind: kind})
	}
	return l, rev, err
}

// Watch implements store.Store.
func (o *oddStore) Watch(ctx context.Context, kind string, rev store.Rev, f func(store.Change)) error {
	if kind != "targets" {
		return o.Store.Watch(ctx, kind, rev, f)
	}
	f(store.Change{Object: store.Object{Kind: kind}})
	return store.ErrUnreadable
}

// Guards against a router that stops following its targets, or lists them in a busy loop, when another writer leaves
// changes that cannot be read.
func TestUnreadableChangesAreFollowedByLists(t *testing.T) {
	e := newEnv(t)
	s := &oddStore{Store: e.store}
	e.runRouter(t, s)
	ok := startTarget(t, "t1", answerOK)
	e.registerTarget(ok, false)
	e.g.Eventually(func() string { return e.request("GET", "/safe/", "").body }, 3*time.Second).Should(Equal("ok"))
	e.g.Expect(e.log.String()).To(ContainSubstring("registration of a target cannot be read"))
	e.g.Expect(e.log.String()).To(ContainSubstring("change of an object cannot be read"))
	before := s.lists.Load()
	time.Sleep(time.Second)
	e.g.Expect(s.lists.Load() - before).To(BeNumerically("<=", 2))
}

// Guards against a registration whose address has to be looked up, which blocks the router.
func TestRouterAddressIsNotLookedUp(t *testing.T) {
	e := newEnv(t)
	for _, a := range []string{"localhost:9", "127.0.0.1:0", "127.0.0.1:65536", "[::1]:9", ":9", "127.0.0.1", ""} {
		e.putObject(direct.RouterKind, "odd "+a, map[string]any{"Address": a, "Boot": ident.Boot(1)})
	}
	e.runRouter(t, e.store)
	for _, a := range []string{"localhost:9", "127.0.0.1:0", "127.0.0.1:65536", "[::1]:9", ":9", "127.0.0.1"} {
		e.g.Eventually(e.log.String, 2*time.Second).Should(ContainSubstring(`peer="odd ` + a + `"`))
	}
}
