package direct

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

const (
	// RoutersSort is the kind of the objects in which routers register.
	RoutersSort = "routers"
	// beaconFirst is the interval between beacons with one other router. It grows with the number of
	// routers, so that a router receives at most beaconsMax beacons a second.
	beaconFirst = 50 * time.Millisecond
	beaconsMax  = 100
	// beaconSize bounds a datagram, in bytes.
	beaconSize = 60_000
	// deafAfter is the silence after which a router counts as lost, or deafBeacons intervals between beacons
	// if that is longer. peerKeep is the silence after which it no longer takes a part of the retry budget:
	// the platform starts a process again sooner.
	deafAfter   = time.Second
	deafBeacons = 3
	peerKeep    = 30 * time.Second
	// quietEvery thins beacons to a router that is silent: one in quietEvery is sent.
	quietEvery = 10
)

// peer is another router.
type peer struct {
	addr *net.UDPAddr
	rev  store.Rev
	boot ident.Boot
	seq  ident.Seq
	// heard is the receipt of the last beacon, or the time at which the registration was first read.
	heard time.Time
	up    bool
	// generation, admin and linked are as of the last beacon.
	generation ident.Generation
	admin      string
	linked     bool
	// ready is the time since which the router takes callers; zero while it does not.
	ready time.Time
	// far is true for a router of another cell. turn spreads the beacons to such over time.
	far  bool
	turn uint64
}

func newPeer(id ident.ProcessID) *peer { return &peer{turn: xxhash.Sum64String(string(id)) >> 32} }

// registration is the value of a router's object.
type registration struct {
	Address string     `json:"address"`
	Boot    ident.Boot `json:"boot"`
}

// beacons sends and receives the state of routers.
func (r *Router) beacons(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "beacons") }()
	addr, err := net.ResolveUDPAddr("udp4", r.cfg.Beacon)
	if err != nil {
		return err
	}
	sock, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- r.receive(sock) }()
	r.announce(ctx, sock)
	_ = sock.Close() // ends receive
	<-done
	return nil
}

// announce sends beacons until ctx ends.
func (r *Router) announce(ctx context.Context, sock *net.UDPConn) {
	t := time.NewTimer(beaconFirst)
	defer t.Stop()
	for seq := ident.Seq(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		out, gap := r.beacon(seq)
		for _, d := range out {
			_, _ = sock.WriteToUDP(d.b, d.to) // the next beacon replaces a lost one
		}
		t.Reset(gap)
	}
}

// datagram is an encoded beacon on its way.
type datagram struct {
	to *net.UDPAddr
	b  []byte
}

// beacon returns what is to be sent now, and the time until the next beacons.
func (r *Router) beacon(seq ident.Seq) (out []datagram, gap time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	gap = interval(r.near)
	if len(r.peers) == 0 {
		return nil, gap
	}
	m := r.about(now, seq)
	var far []byte
	if r.near < len(r.peers) {
		far = r.encode(m)
	}
	r.addLoads(now, m)
	near := r.encode(m)
	urgent := r.urgent
	r.urgent = false
	for id, p := range r.peers {
		silent := now.Sub(p.heard) >= r.deaf(p)
		if silent && p.up {
			p.up = false
			r.log.Log(event.PeerDown, "peer", id, "silent", now.Sub(p.heard))
		}
		every, b := uint64(1), near
		if p.far {
			every, b = max(uint64(farTime/gap), 1), far
		}
		if silent {
			every *= quietEvery
		}
		if b != nil && ((uint64(seq)+p.turn)%every == 0 || urgent && !silent) {
			out = append(out, datagram{p.addr, b})
		}
	}
	return out, gap
}

// about returns a beacon with what concerns all routers; r.mu is held.
func (r *Router) about(now time.Time, seq ident.Seq) *wire.Heartbeat {
	m := &wire.Heartbeat{Process: r.cfg.Name, Boot: r.boot, Seq: seq, Region: r.cfg.Region, Fingerprints: r.told(now), Admin: r.cfg.Admin, StoreReachable: r.linked.Load(), Ready: r.Ready(), Rollouts: r.tellMoves(now)}
	if p := r.plan.Load(); p != nil {
		m.Generation = p.Generation
	}
	return m
}

// addLoads adds what concerns the routers of the same cell; r.mu is held.
func (r *Router) addLoads(now time.Time, m *wire.Heartbeat) {
	for s, p := range r.pools {
		rep := p.Report(now)
		m.Demands = append(m.Demands, wire.HeartbeatDemand{Service: s, Mean: rep.Demand, Waiting: rep.Waiting})
		for _, l := range rep.Loads {
			m.Loads = append(m.Loads, wire.HeartbeatLoad{Service: s, Target: l.Target, Running: l.Running, PendingPrompt: l.Unread})
		}
		for _, t := range p.Down(now) {
			m.DownTargets = append(m.DownTargets, wire.HeartbeatDown{Service: s, Target: t})
		}
	}
	for a, n := range r.tally.Used() {
		m.Usage = append(m.Usage, wire.HeartbeatUsage{Account: a, Tokens: n})
	}
}

// encode returns the datagram of a beacon, or nil if it is too large.
func (r *Router) encode(m *wire.Heartbeat) []byte {
	b, err := wire.Encode(m)
	if err != nil || len(b) > beaconSize {
		r.log.Log(event.BadFrame, "peer", r.cfg.Name, "bytes", len(b), "error", err)
		return nil
	}
	return b
}

// receive takes in beacons until the socket is closed.
func (r *Router) receive(sock *net.UDPConn) error {
	buf := make([]byte, beaconSize)
	for {
		n, from, err := sock.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue // an ICMP error of an earlier datagram
		}
		m, err := wire.Decode(buf[:n])
		b, ok := m.(*wire.Heartbeat)
		if err != nil || !ok {
			r.log.Log(event.BadFrame, "peer", from, "error", err)
			continue
		}
		r.merge(time.Now(), from, b)
	}
}

// merge takes in the state of another router. A router that has not read the registrations of the others
// yet, because the store is away, learns of them from their beacons.
func (r *Router) merge(now time.Time, from *net.UDPAddr, b *wire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[b.Process]
	if !ok && b.Process != r.cfg.Name {
		p = newPeer(b.Process)
		p.addr = from
		r.peers[b.Process] = p
		r.near++ // until the cells are computed again
	}
	if p == nil || b.Boot < p.boot || b.Boot == p.boot && b.Seq <= p.seq {
		return
	}
	p.generation, p.admin, p.linked = b.Generation, b.Admin, b.StoreReachable
	if !b.Ready {
		p.ready = time.Time{}
	} else if p.ready.IsZero() {
		p.ready = now
	}
	if !p.up {
		p.up = true
		r.log.Log(event.PeerUp, "peer", b.Process, "boot", b.Boot, "generation", b.Generation)
	}
	p.boot, p.seq, p.heard = b.Boot, b.Seq, now
	r.heard(now, b.Fingerprints)
	r.hearMoves(now, b)
	if p.far {
		return
	}
	reports := reportsOf(b)
	for _, d := range b.DownTargets {
		if pool, ok := r.pools[d.Service]; ok {
			pool.FoundDown(now, d.Target)
		}
	}
	for s, pool := range r.pools {
		rep := reports[s]
		rep.From, rep.Region = b.Process, b.Region
		pool.SetLag(interval(r.near))
		pool.Merge(now, rep)
		r.next(now, pool)
	}
	used := make(map[ident.AccountID]ident.Tokens, len(b.Usage))
	for _, u := range b.Usage {
		used[u.Account] = u.Tokens
	}
	r.tally.Merge(now, b.Process, b.Boot, used)
}

// reportsOf returns the reports in a beacon by service.
func reportsOf(b *wire.Heartbeat) map[ident.Service]sched.Report {
	out := map[ident.Service]sched.Report{}
	for _, d := range b.Demands {
		out[d.Service] = sched.Report{Demand: d.Mean, Waiting: d.Waiting}
	}
	for _, l := range b.Loads {
		r := out[l.Service]
		r.Loads = append(r.Loads, sched.Load{Target: l.Target, Running: l.Running, Unread: l.PendingPrompt})
		out[l.Service] = r
	}
	return out
}

// interval returns the time between two beacons to each of n other routers.
func interval(n int) time.Duration {
	return max(beaconFirst, time.Duration(n)*time.Second/beaconsMax)
}

// deaf returns the silence after which a router counts as lost; r.mu is held.
func (r *Router) deaf(p *peer) time.Duration {
	if p.far {
		return deafBeacons * farTime
	}
	return max(deafAfter, deafBeacons*interval(r.near))
}

// known returns the number of routers that may be running, this one included; r.mu is held.
func (r *Router) known(now time.Time) int {
	n := 1
	for _, p := range r.peers {
		if now.Sub(p.heard) < peerKeep {
			n++
		}
	}
	return n
}

// enrol takes in the registration of a router; r.mu is held.
func (r *Router) enrol(now time.Time, o store.Object) error {
	if o.Name == string(r.cfg.Name) {
		return nil
	}
	var g registration
	if err := json.Unmarshal(o.Value, &g); err != nil {
		return err
	}
	addr, err := net.ResolveUDPAddr("udp4", g.Address)
	if err != nil {
		return err
	}
	id := ident.ProcessID(o.Name)
	p, ok := r.peers[id]
	if !ok {
		p = newPeer(id)
		p.heard = now
		r.peers[id] = p
		r.near++ // until the cells are computed again
	}
	p.addr, p.rev = addr, o.Rev
	return nil
}

// register writes this router's object until it is there.
func (r *Router) register(ctx context.Context) error {
	v, err := json.Marshal(registration{Address: r.cfg.Beacon, Boot: r.boot})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err = r.enter(ctx, v); err == nil {
			return nil
		}
		r.log.Log(event.StoreDown, "sort", RoutersSort, "error", err)
		pause(ctx, watchPause)
	}
	return nil
}

// enter creates the object, or replaces that of an earlier process of the same name.
func (r *Router) enter(ctx context.Context, v []byte) error {
	o := store.Object{Kind: RoutersSort, Name: string(r.cfg.Name), Value: v}
	_, err := r.store.Create(ctx, o)
	if !errors.Is(err, store.ErrExists) {
		return err
	}
	old, err := r.store.Get(ctx, RoutersSort, o.Name)
	if err != nil {
		return err
	}
	var g registration
	if json.Unmarshal(old.Value, &g) == nil && g.Address == r.cfg.Beacon {
		return nil // the address is all that others need
	}
	o.Rev = old.Rev
	_, err = r.store.Update(ctx, o)
	return err
}
