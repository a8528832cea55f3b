package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/direct"
	"hickoryvane.example/router/follow"

	"github.com/charmbracelet/log"
)

// silentStore is a store whose watches of targets report nothing while silent is true.
type silentStore struct {
	store.StatusStore
	silent atomic.Bool
	mode   atomic.Uint32
}

func (s *silentStore) SetWatchMode(m scout.Mode) { s.mode.Store(uint32(m)) }

func (s *silentStore) SetSeed(string, follow.Seed) {}

func (s *silentStore) Confirmed(string) store.Rev { return "" }

func (s *silentStore) Watch(ctx context.Context, kind string, rev store.Rev, f func(store.Change)) error {
	if kind == "targets" && s.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.StatusStore.Watch(ctx, kind, rev, f)
}

// Guards against a router among many that goes on sending requests to a target that left, because the connection of
// its watch went silent and its calls take long.
func TestFollowerWithSilentWatchLearnsFromPeers(t *testing.T) {
	ok := func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") }
	x, y := startTarget(t, "t1", ok), startTarget(t, "t2", ok)
	e := newEnv(t)
	e.registerTarget(x, false)
	e.registerTarget(y, false)
	st := &silentStore{StatusStore: e.store}
	st.silent.Store(true)
	m, err := meter.New()
	e.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	r := direct.New(e.cfg, st, catalogue{}, dialect{}, event.New(e.log, log.InfoLevel), m, direct.WithWatchPacer(st))
	go func() { e.done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		e.g.Eventually(e.done, 6*time.Second).Should(Receive(BeNil()))
	})
	e.awaitReady()
	c, err := net.Dial("udp4", e.cfg.Heartbeat)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	sendHeartbeats := func(seq ident.Seq) {
		_, rev, err := e.store.List(ctx, "targets")
		e.g.Expect(err).NotTo(HaveOccurred())
		for i := range 20 {
			b, err := wire.Encode(&wire.Heartbeat{
				Process: ident.ProcessID(fmt.Sprint("o", i)), Boot: 1, Seq: seq, Region: "a", Generation: 1, Ready: true,
				StoreReachable: true, TargetRev: string(rev), TargetCount: 2,
			})
			e.g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write(b)
			e.g.Expect(err).NotTo(HaveOccurred())
		}
	}
	seq := ident.Seq(0)
	e.g.Eventually(func() scout.Mode {
		seq++
		sendHeartbeats(seq)
		return scout.Mode(st.mode.Load())
	}, 3*time.Second, 100*time.Millisecond).Should(Equal(scout.Follower))
	e.registerTarget(x, true)
	e.g.Eventually(func() string {
		seq++
		sendHeartbeats(seq)
		return e.log.String()
	}, 3*time.Second, 100*time.Millisecond).Should(ContainSubstring("target is leaving"))
	before := len(x.requests())
	for range 5 {
		e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200), e.log.String())
	}
	e.g.Expect(x.requests()).To(HaveLen(before))
}

// Guards against a follower that waits for its own watch, or lists again, although a scout passed the change on, and
// against one that applies a change while it lacks those before.
func TestFollowerAppliesChangesOfScouts(t *testing.T) {
	x := startTarget(t, "t1", answerOK)
	y := startTarget(t, "t2", answerOK)
	e := newEnv(t)
	e.registerTarget(x, false)
	e.registerTarget(y, false)
	st := &silentStore{StatusStore: e.store}
	st.silent.Store(true)
	m, err := meter.New()
	e.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	r := direct.New(e.cfg, st, catalogue{}, dialect{}, event.New(e.log, log.InfoLevel), m, direct.WithWatchPacer(st))
	go func() { e.done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		e.g.Eventually(e.done, 6*time.Second).Should(Receive(BeNil()))
	})
	e.awaitReady()
	c, err := net.Dial("udp4", e.cfg.Heartbeat)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	newest, err := e.store.Get(ctx, "targets", y.id)
	e.g.Expect(err).NotTo(HaveOccurred())
	listed := newest.Rev
	seq := ident.Seq(0)
	claimed := listed
	send := func(since store.Rev, changes ...wire.HeartbeatChange) {
		seq++
		for i := range 20 {
			b, err := wire.Encode(&wire.Heartbeat{
				Process: ident.ProcessID(fmt.Sprint("o", i)), Boot: 1, Seq: seq, Region: "a", Generation: 1, Ready: true,
				StoreReachable: true, TargetRev: string(claimed), TargetCount: 2, ChangesSince: string(since), Changes: changes,
			})
			e.g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write(b)
			e.g.Expect(err).NotTo(HaveOccurred())
		}
	}
	e.g.Eventually(func() scout.Mode {
		send("")
		return scout.Mode(st.mode.Load())
	}, 3*time.Second, 100*time.Millisecond).Should(Equal(scout.Follower))
	e.registerTarget(x, true)
	o, err := e.store.Get(ctx, "targets", x.id)
	e.g.Expect(err).NotTo(HaveOccurred())
	change := wire.HeartbeatChange{Name: o.Name, Rev: string(o.Rev), Value: o.Value}
	send(listed, change) // no other router has seen it
	claimed = o.Rev
	send("")
	send(o.Rev, change) // something is missing before it
	time.Sleep(200 * time.Millisecond)
	e.g.Expect(e.log.String()).NotTo(ContainSubstring("target is leaving"))
	e.g.Eventually(func() string {
		send(listed, change)
		return e.log.String()
	}, 3*time.Second, 100*time.Millisecond).Should(ContainSubstring("target is leaving"))
	e.g.Expect(e.log.String()).NotTo(ContainSubstring("event=309"))
	before := len(x.requests())
	for range 5 {
		e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200), e.log.String())
	}
	e.g.Expect(x.requests()).To(HaveLen(before))
}
