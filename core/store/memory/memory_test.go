package memory_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
)

// Guards against a watch that skips changes, ends without a cause, or hides that it lost history.
func TestWatchReportsEachChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, s := NewWithT(t), memory.New()
		ctx, cancel := context.WithCancel(t.Context())
		var seen []string
		ended := make(chan error, 1)
		go func() {
			ended <- s.Watch(ctx, "lease", "0", func(c store.Change) {
				seen = append(seen, fmt.Sprint(c.Object.Name, c.Deleted))
			})
		}()
		o, err := s.Create(ctx, store.Object{Kind: "lease", Name: "a"})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = s.Create(ctx, store.Object{Kind: "move", Name: "b"})
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		g.Expect(s.Delete(ctx, o)).To(Succeed())
		synctest.Wait()
		g.Expect(seen).To(Equal([]string{"afalse", "atrue"}))
		cancel()
		g.Expect(<-ended).To(MatchError(context.Canceled))
		s.DropHistory()
		g.Expect(s.Watch(t.Context(), "lease", "1", nil)).To(MatchError(store.ErrRevTooOld))
	})
}

// Guards against a lost answer whose write had no effect, which would make tests of read-back pass for nothing.
func TestLoseRepliesKeepsTheEffect(t *testing.T) {
	g, s := NewWithT(t), memory.New()
	s.LoseReplies(1)
	_, err := s.Create(t.Context(), store.Object{Kind: "lease", Name: "a"})
	g.Expect(err).To(MatchError(store.ErrOutcomeUnknown))
	_, err = s.Get(t.Context(), "lease", "a")
	g.Expect(err).NotTo(HaveOccurred())
}
