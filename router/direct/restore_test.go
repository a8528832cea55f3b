package direct_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/block"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/direct"
)

// restore makes the store of e come back from a copy after a short outage.
func (e *env) restore(restore func()) {
	e.store.SetOutage(true)
	time.Sleep(50 * time.Millisecond)
	restore()
	e.store.SetOutage(false)
}

// awaitList waits until the router has listed the targets again after an outage.
func (e *env) awaitList() {
	e.g.Eventually(e.log.String, 3*time.Second).Should(MatchRegexp(`is available again" event=304 sort=targets`))
}

func (e *env) exists(kind, name string) bool {
	_, err := e.store.Get(context.Background(), kind, name)
	return err == nil
}

// Guards against a router that new ones do not find, because its registration was lost with the store.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	e := newEnv(t)
	c := e.store.Copy()
	e.runRouter(t, e.store)
	e.g.Eventually(func() bool { return e.exists(direct.RouterKind, "r1") }, 3*time.Second).Should(BeTrue())
	e.restore(func() { e.store.Restore(c) })
	e.g.Eventually(func() bool { return e.exists(direct.RouterKind, "r1") }, 4*time.Second).Should(BeTrue())
}

// Guards against all routers writing at once what the store has lost: just after an outage, none has heard yet that the
// others reach the store again.
func TestRoutersWriteInTurnAfterRestore(t *testing.T) {
	e := newEnv(t)
	e.runRouter(t, e.store)
	e.g.Eventually(func() bool { return e.exists(direct.RouterKind, "r1") }, 3*time.Second).Should(BeTrue())
	c := memory.New().Copy()
	e.store.SetOutage(true)
	time.Sleep(50 * time.Millisecond)
	for i := range 10 {
		e.sendHeartbeat(&wire.Heartbeat{Process: ident.ProcessID(fmt.Sprintf("a%d", i)), Boot: 1, Seq: 1, Region: "a", Generation: 1})
	}
	e.store.Restore(c)
	e.store.SetOutage(false)
	e.g.Eventually(e.log.String, 3*time.Second).Should(ContainSubstring("event=304 sort=routers"))
	e.g.Consistently(func() bool { return e.exists(direct.RouterKind, "r1") }, 300*time.Millisecond).Should(BeFalse())
	e.g.Eventually(func() bool { return e.exists(direct.RouterKind, "r1") }, 3*time.Second).Should(BeTrue())
}

// Guards against targets that crash anew after a stop of all routers, because the block was lost with the store.
func TestLostBlockIsWrittenAgain(t *testing.T) {
	e := newEnv(t)
	f := newPoisonedFleet(t, e, 5)
	c := e.store.Copy()
	e.runRouter(t, e.store)
	for f.crashes() < crashesAllowed {
		if e.request("POST", "/unsafe/", fmt.Sprint(f.crashes()), "X-Parts", "shared deadly").code == 503 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	e.g.Eventually(func() string { return blocksOf(e) }, time.Second).ShouldNot(BeEmpty())
	e.restore(func() { e.store.Restore(c) })
	e.g.Eventually(func() string { return blocksOf(e) }, 4*time.Second).ShouldNot(BeEmpty())
}

// Guards against a block that ends early after a stop of all routers, because its renewal was lost with the store.
func TestLostRenewalOfBlockIsWrittenAgain(t *testing.T) {
	e := newEnv(t)
	name := strconv.FormatUint(uint64(ident.FingerprintOf("", []byte("[7]"))), 16)
	put := func(left time.Duration) {
		e.putObject(block.Kind, name, map[string]any{"features": []uint64{7}, "at": time.Now().UnixMilli(), "until": time.Now().Add(left).UnixMilli()})
	}
	put(time.Minute)
	c := e.store.Copy()
	put(4 * time.Minute)
	e.runRouter(t, e.store)
	end := func() time.Time {
		o, err := e.store.Get(context.Background(), block.Kind, name)
		e.g.Expect(err).NotTo(HaveOccurred())
		var v struct{ Until int64 }
		e.g.Expect(json.Unmarshal(o.Value, &v)).To(Succeed())
		return time.UnixMilli(v.Until)
	}
	time.Sleep(200 * time.Millisecond) // the blocks are read at the start
	e.restore(func() { e.store.Restore(c) })
	e.g.Expect(time.Until(end())).To(BeNumerically("<", 2*time.Minute))
	e.g.Eventually(func() time.Duration { return time.Until(end()) }, 4*time.Second).Should(BeNumerically(">", 3*time.Minute))
}

// Guards against a block that was lifted and comes back with the store, to refuse sound requests.
func TestDeletionOfLiftedBlockIsRepeated(t *testing.T) {
	e := newEnv(t)
	f := newPoisonedFleet(t, e, 4)
	e.runRouter(t, e.store)
	for f.crashes() < crashesAllowed {
		if e.request("POST", "/unsafe/", fmt.Sprint(f.crashes()), "X-Parts", "deadly").code == 503 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	e.g.Eventually(func() string { return blocksOf(e) }, time.Second).ShouldNot(BeEmpty())
	c := e.store.Copy()
	e.reportPass("deadly")
	e.g.Eventually(func() string { return blocksOf(e) }, 2*time.Second).Should(BeEmpty())
	e.restore(func() { e.store.Restore(c) })
	e.g.Expect(blocksOf(e)).NotTo(BeEmpty())
	e.g.Eventually(func() string { return blocksOf(e) }, 4*time.Second).Should(BeEmpty())
}

// Guards against a finished rollout that begins again, because its state was lost with the store: the old targets have
// stopped by then.
func TestLostStateOfRolloutIsWrittenAgain(t *testing.T) {
	for _, wait := range []time.Duration{0, 5500 * time.Millisecond} { // known, and retired
		t.Run(wait.String(), func(t *testing.T) {
			old, fresh := startTarget(t, "t1", answerOK), startTarget(t, "t2", answerOK)
			e := startRouter(t)
			e.registerVersion(old, "v1")
			e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
			e.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 2 * time.Second})
			e.registerVersion(fresh, "v2")
			e.g.Eventually(e.recordedState, 2*time.Second).Should(Equal(moves.Running))
			c := e.store.Copy()
			e.requestUntil(moves.Done)
			time.Sleep(wait)
			e.sendHeartbeat(&wire.Heartbeat{
				Process: "r9", Boot: 1, Seq: 1, Region: "a", Generation: 1,
				Rollouts: []wire.HeartbeatRollout{{Service: "s", Version: "v2", DurationMillis: 2000}},
			})
			e.restore(func() { e.store.Restore(c) })
			e.g.Eventually(e.recordedState, 4*time.Second).Should(Equal(moves.Done))
			e.g.Expect(strings.Count(e.log.String(), "move ordered")).To(Equal(1))
		})
	}
}

// Guards against a running rollout that an earlier one ends, which comes back with the store: the new version is then
// treated as one in use.
func TestEarlierRolloutDoesNotReplaceRunningOne(t *testing.T) {
	for _, state := range []moves.State{moves.Done, moves.RolledBack, moves.Running} {
		t.Run(string(state), func(t *testing.T) {
			old, fresh := startTarget(t, "t1", answerOK), startTarget(t, "t2", answerOK)
			e := newEnv(t)
			e.registerVersion(old, "v2")
			e.putObject("orders", "s", moves.Request{Service: "s", To: "v1", Duration: 20 * time.Second})
			e.putState("v1", state)
			e.runRouter(t, e.store)
			e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
			c := e.store.Copy()
			e.putObject("orders", "s", moves.Request{Service: "s", To: "v3", Duration: 20 * time.Second})
			e.registerVersion(fresh, "v3")
			e.g.Eventually(e.log.String, time.Second).Should(MatchRegexp(`event=50[0-9].*version=v3`))
			e.restore(func() {
				e.store.Restore(c)
				e.store.SetOutage(false)
				e.registerVersion(fresh, "v3")
				e.store.SetOutage(true)
			})
			e.awaitList()
			time.Sleep(200 * time.Millisecond)
			e.putObject("orders", "s", moves.Request{Service: "s", To: "v3", Duration: 20 * time.Second})
			e.g.Eventually(e.recordedState, 2*time.Second).Should(Equal(moves.Running))
			e.g.Expect(strings.Count(e.log.String(), "service=s version=v3 length=")).To(Equal(1))
		})
	}
}

// putState writes the state of the rollout of the service as an earlier process would have.
func (e *env) putState(v ident.Version, s moves.State) {
	o, err := e.store.Get(context.Background(), "orders", "s")
	e.g.Expect(err).NotTo(HaveOccurred())
	o.Status = catalogue{}.EncodeState(moves.Request{To: v}, s)
	_, err = e.store.UpdateStatus(context.Background(), o)
	e.g.Expect(err).NotTo(HaveOccurred())
}

// refusingStore refuses writes of a status while refuse is set, and counts all.
type refusingStore struct {
	store.StatusStore
	refuse atomic.Bool
	writes atomic.Int32
}

func (s *refusingStore) UpdateStatus(ctx context.Context, o store.Object) (store.Object, error) {
	s.writes.Add(1)
	if s.refuse.Load() {
		return o, store.ErrUnavailable
	}
	return s.StatusStore.UpdateStatus(ctx, o)
}

// Guards against writes without end of a state whose request was deleted before it was written again, and against a log
// line for each try.
func TestStateOfDeletedRolloutIsNotWrittenForEver(t *testing.T) {
	for name, seen := range map[string]bool{"deletion seen": true, "deletion not seen": false} {
		t.Run(name, func(t *testing.T) {
			old, fresh := startTarget(t, "t1", answerOK), startTarget(t, "t2", answerOK)
			e := newEnv(t)
			st := &refusingStore{StatusStore: e.store}
			empty := e.store.Copy()
			e.runRouter(t, st)
			e.registerVersion(old, "v1")
			e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
			e.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 2 * time.Second})
			e.registerVersion(fresh, "v2")
			e.g.Eventually(e.recordedState, 2*time.Second).Should(Equal(moves.Running))
			c := e.store.Copy()
			e.requestUntil(moves.Done)
			st.refuse.Store(true)
			e.restore(func() { e.store.Restore(c) })
			e.awaitList()
			e.g.Eventually(e.log.String, 2*time.Second).Should(ContainSubstring("event=311 sort=orders"))
			before := st.writes.Load()
			e.g.Eventually(func() int32 { return st.writes.Load() - before }, 3*time.Second).Should(BeNumerically(">=", 2), "it is tried again")
			if seen {
				e.deleteObject("orders", "s")
			} else {
				e.restore(func() { e.store.Restore(empty) })
			}
			st.refuse.Store(false)
			time.Sleep(2 * time.Second)
			before = st.writes.Load()
			time.Sleep(1200 * time.Millisecond)
			e.g.Expect(st.writes.Load()).To(Equal(before))
			e.g.Expect(strings.Count(e.log.String(), "event=311 sort=orders")).To(Equal(1))
		})
	}
}

// Guards against requests at a target that this router knew to leave or to be gone, and that the copy shows as ready.
func TestLeavingTargetDoesNotComeBackWithTheStore(t *testing.T) {
	for name, leave := range map[string]func(e *env, x *scriptedTarget){
		"leaving": func(e *env, x *scriptedTarget) { e.registerTarget(x, true) },
		"removed": func(e *env, x *scriptedTarget) {
			e.registerTarget(x, true)
			e.deleteObject("targets", x.id)
			e.g.Eventually(e.log.String, time.Second).Should(ContainSubstring("event=506 target=" + x.id))
		},
	} {
		t.Run(name, func(t *testing.T) {
			x, y := startTarget(t, "t1", answerOK), startTarget(t, "t2", answerOK)
			e := startRouter(t, x, y)
			c := e.store.Copy()
			leave(e, x)
			e.g.Eventually(e.log.String, time.Second).Should(ContainSubstring("event=504 target=t1"))
			before := len(x.requests())
			e.restore(func() { e.store.Restore(c) })
			e.awaitList()
			for range 20 {
				e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
			}
			e.g.Expect(len(x.requests())).To(Equal(before))
		})
	}
}

func (e *env) deleteObject(kind, name string) {
	o, err := e.store.Get(context.Background(), kind, name)
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(e.store.Delete(context.Background(), o)).To(Succeed())
}

// Guards against a registration that is ignored as outdated, because its revision was given out before: the target
// goes on to get requests although it leaves.
func TestRegistrationAfterRestoreIsNotOutdated(t *testing.T) {
	x, y := startTarget(t, "t1", answerOK), startTarget(t, "t2", answerOK)
	e := startRouter(t, y)
	c := e.store.Copy()
	for range 8 {
		e.putObject("other", "o", time.Now())
	}
	e.registerTarget(x, false)
	e.g.Eventually(e.log.String, time.Second).Should(ContainSubstring("event=502 target=t1"))
	e.restore(func() {
		e.store.Restore(c)
		e.store.SetOutage(false)
		e.registerTarget(x, false) // as the target does in time, under a lower revision
		e.store.SetOutage(true)
	})
	e.awaitList()
	e.registerTarget(x, true)
	e.g.Eventually(e.log.String, time.Second).Should(ContainSubstring("event=504 target=t1"))
	before := len(x.requests())
	for range 20 {
		e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
	}
	e.g.Expect(len(x.requests())).To(Equal(before))
}

// Guards against a process that goes back to an older configuration, or that takes a newer one for older, because of
// its revision.
func TestConfigurationNeverGoesBack(t *testing.T) {
	e := newEnv(t)
	put := func(generation ident.Generation, more ...route.Route) {
		e.putObject("config", "main", config{Generation: generation, Routes: append(routes(), more...)})
	}
	added := routes()[0]
	added.Name, added.Prefix = "added", "/added/"
	x := startTarget(t, "t1", answerOK)
	e.registerTarget(x, false)
	c := e.store.Copy()
	e.runRouter(t, e.store)
	for range 8 {
		e.putObject("other", "o", time.Now())
	}
	put(5, added)
	e.g.Eventually(func() int { return e.request("GET", "/added/", "").code }, time.Second).Should(Equal(200))
	e.restore(func() { e.store.Restore(c) })
	e.awaitList()
	e.g.Consistently(func() int { return e.request("GET", "/added/", "").code }, 300*time.Millisecond).Should(Equal(200))
	later := added
	later.Name, later.Prefix = "later", "/later/"
	put(9, added, later)
	e.g.Eventually(func() int { return e.request("GET", "/later/", "").code }, time.Second).Should(Equal(200))
	b, err := json.Marshal("invalid")
	e.g.Expect(err).NotTo(HaveOccurred())
	o, err := e.store.Get(t.Context(), "config", "main")
	e.g.Expect(err).NotTo(HaveOccurred())
	_, err = e.store.Update(t.Context(), store.Object{Kind: "config", Name: "main", Rev: o.Rev, Value: b})
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Eventually(e.log.String, time.Second).Should(ContainSubstring("event=305"))
	e.g.Expect(e.request("GET", "/later/", "").code).To(Equal(200))
}

// Guards against a new process that stays on the older configuration of a copy while its peers have a newer one.
func TestNewRouterPrefersNewerConfigurationOfPeers(t *testing.T) {
	x := startTarget(t, "t1", answerOK)
	e := startRouter(t, x)
	c := e.store.Copy()
	added := routes()[0]
	added.Name, added.Prefix = "added", "/added/"
	e.putObject("config", "main", config{Generation: 5, Routes: append(routes(), added)})
	e.g.Eventually(func() int { return e.request("GET", "/added/", "").code }, time.Second).Should(Equal(200))
	e.restore(func() { e.store.Restore(c) })
	e.awaitList()
	other := &env{g: e.g, store: memory.New(), cfg: e.cfg, done: make(chan error, 1), log: &safeBuffer{}}
	other.store.Restore(c)
	other.cfg.Listen, other.cfg.Ready, other.cfg.Admin, other.cfg.Heartbeat = freeAddr(e.g), freeAddr(e.g), freeAddr(e.g), freeAddr(e.g)
	other.cfg.Name = "r2"
	e.registerRouter(other)
	other.runRouter(t, other.store)
	codes := map[int]int{}
	for began := time.Now(); codes[200] == 0 && time.Since(began) < 2500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
		codes[other.request("GET", "/added/", "").code]++
	}
	e.g.Expect(codes).To(HaveKey(200))
	e.g.Expect(codes).NotTo(HaveKey(404))
}

// reportPass reports a pass of requests with a part, as another router does.
func (e *env) reportPass(part ident.PromptPart) {
	e.sendHeartbeat(&wire.Heartbeat{
		Process: "r9", Boot: 1, Seq: 1, Region: "a", Generation: 1,
		Passes: []wire.HeartbeatPass{{Feature: ident.FingerprintOf("s", []byte("part "+part))}},
	})
}

func (e *env) sendHeartbeat(b *wire.Heartbeat) {
	c, err := net.Dial("udp4", e.cfg.Heartbeat)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	p, err := wire.Encode(b)
	e.g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Write(p)
	e.g.Expect(err).NotTo(HaveOccurred())
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

// Guards against a bad version that gets requests again, because its rollback was lost with the store.
func TestLostRollbackIsWrittenAgain(t *testing.T) {
	old := startTarget(t, "t1", answerOK)
	fresh := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 500, "broken") })
	e := startRouter(t)
	e.registerVersion(old, "v1")
	e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
	e.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 4 * time.Second})
	c := e.store.Copy()
	e.registerVersion(fresh, "v2")
	e.requestUntil(moves.RolledBack)
	before := len(fresh.requests())
	e.restore(func() { e.store.Restore(c) })
	e.g.Eventually(e.recordedState, 4*time.Second).Should(Equal(moves.RolledBack))
	for range 50 {
		e.request("GET", "/safe/", "")
	}
	e.g.Expect(len(fresh.requests())).To(Equal(before))
}

// forgetfulStore is a store whose watches of targets always end because their history is lost.
type forgetfulStore struct {
	store.StatusStore
	watches atomic.Int32
}

func (s *forgetfulStore) Watch(ctx context.Context, kind string, rev store.Rev, f func(store.Change)) error {
	if kind == "targets" {
		s.watches.Add(1)
		return store.ErrRevTooOld
	}
	return s.StatusStore.Watch(ctx, kind, rev, f)
}

// Guards against a burst of calls while the responses of the store state different histories.
func TestLostHistoryIsNotABusyLoop(t *testing.T) {
	e := newEnv(t)
	st := &forgetfulStore{StatusStore: e.store}
	e.runRouter(t, st)
	before := st.watches.Load()
	time.Sleep(2 * time.Second)
	e.g.Expect(st.watches.Load() - before).To(BeNumerically("<=", 6))
}
