package direct_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/direct"
	"hickoryvane.example/router/follow"
	"hickoryvane.example/router/relay"
)

// seededStore is a store whose lists of targets take more than a page.
type seededStore struct {
	silentStore
	seed atomic.Pointer[follow.Seed]
}

func (s *seededStore) SetSeed(_ string, f follow.Seed) { s.seed.Store(&f) }

// Guards against a router that reads thousands of registrations from the store although a router of its region has them,
// against a list that is older than what it knows, and against one of another region.
func TestLongListComesFromARouterOfTheRegion(t *testing.T) {
	x := startTarget(t, "t1", answerOK)
	e := newEnv(t)
	e.registerTarget(x, false)
	st := &seededStore{silentStore: silentStore{StatusStore: e.store}}
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
	known, err := e.store.Get(ctx, "targets", x.id)
	e.g.Expect(err).NotTo(HaveOccurred())
	peer := func(rev store.Rev, names ...string) string {
		s := relay.Snapshot{Config: store.Object{Name: "main", Rev: rev}, TargetRev: rev, NewestTarget: rev}
		for _, n := range names {
			s.Targets = append(s.Targets, store.Object{Kind: "targets", Name: n, Rev: rev})
		}
		srv := httptest.NewServer(relay.NewServer(func(bool) (relay.Snapshot, bool) { return s, true }))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	later := store.RevOf(0, 1_000_000)
	near, far := peer(later, "a", "b"), peer(later, "far")
	c, err := net.Dial("udp4", e.cfg.Heartbeat)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	var seq ident.Seq
	send := func(region, admin string, n int, rev store.Rev) {
		seq++
		for i := range n {
			b, err := wire.Encode(&wire.Heartbeat{
				Process: ident.ProcessID(fmt.Sprint(region, i)), Boot: 1, Seq: seq, Region: ident.Region(region), Admin: admin,
				StoreReachable: true, TargetRev: string(rev), TargetCount: 2,
			})
			e.g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write(b)
			e.g.Expect(err).NotTo(HaveOccurred())
		}
	}
	list := func() (names []string) {
		l, rev, ok := (*st.seed.Load())(ctx)
		if ok {
			e.g.Expect(rev).To(Equal(later))
		}
		for _, o := range l {
			names = append(names, o.Name)
		}
		return names
	}
	e.g.Expect(list()).To(BeEmpty(), "no other router is known")
	send("elsewhere", far, 20, later)
	time.Sleep(100 * time.Millisecond)
	e.g.Expect(list()).To(BeEmpty(), "it is the first one of its region")
	e.g.Eventually(func() []string {
		send(string(e.cfg.Region), near, 60, later) // some of them are before it
		return list()
	}, 3*time.Second).Should(Equal([]string{"a", "b"}))
	old, _, _ := known.Rev.Split()
	send(string(e.cfg.Region), peer(store.RevOf(old, 0), "old"), 60, store.RevOf(old, 0))
	time.Sleep(100 * time.Millisecond)
	e.g.Expect(list()).To(BeEmpty(), "all others are behind")
}

// Guards against a router that asks the nearest peer for a newer configuration again and again although that cannot be
// read, while others have it as well.
func TestNewerConfigurationComesFromAnotherPeerIfTheNearestFails(t *testing.T) {
	e := startRouter(t, startTarget(t, "t1", answerOK))
	config, err := e.store.Get(t.Context(), "config", "main")
	e.g.Expect(err).NotTo(HaveOccurred())
	config.Value = bytes.Replace(config.Value, []byte(`"Generation":1`), []byte(`"Generation":7`), 1)
	serve := func(ok bool) string {
		srv := httptest.NewServer(relay.NewServer(func(bool) (relay.Snapshot, bool) { return relay.Snapshot{Config: config}, ok }))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	c, err := net.Dial("udp4", e.cfg.Heartbeat)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	peers := []wire.Heartbeat{
		{Process: "near", Centre: e.cfg.Centre, Region: e.cfg.Region, Admin: serve(false)},
		{Process: "also near", Centre: e.cfg.Centre, Region: e.cfg.Region, Admin: serve(false)},
		{Process: "far", Centre: "elsewhere", Region: "elsewhere", Admin: serve(true)},
	}
	seq := ident.Seq(0)
	e.g.Eventually(func() string {
		seq++
		for _, m := range peers {
			m.Boot, m.Seq, m.Generation, m.StoreReachable = 1, seq, 7, true
			b, err := wire.Encode(&m)
			e.g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write(b)
			e.g.Expect(err).NotTo(HaveOccurred())
		}
		return e.log.String()
	}, 4*time.Second, 100*time.Millisecond).Should(ContainSubstring("event=301 generation=7"))
}
