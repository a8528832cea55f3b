package direct

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"hickoryvane.example/core/admit"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/follow"
)

const (
	// RouterKind is the kind of the objects in which routers register.
	RouterKind = "routers"
	// minHeartbeatInterval is the interval between heartbeats with one other router. It grows with the number
	// of routers, so that a router receives at most maxHeartbeatsPerSecond, or busyHeartbeatsPerSecond while requests
	// wait: then the age of the reports decides how many slots are left free or filled twice.
	minHeartbeatInterval    = 50 * time.Millisecond
	maxHeartbeatsPerSecond  = 100
	busyHeartbeatsPerSecond = 300
	// busyTime is the time after the last waiting request for which a router counts as busy, several intervals.
	busyTime = time.Second
	// maxDatagramBytes limits the size of a datagram.
	maxDatagramBytes = 60_000
	// minPeerTimeout is the silence after which a router counts as down, or peerTimeoutIntervals intervals
	// between heartbeats if that is longer. peerTTL is the silence after which the router is no longer counted
	// when cells, canary requests and the retry budget are divided; the platform restarts a process sooner than
	// that.
	minPeerTimeout       = time.Second
	peerTimeoutIntervals = 3
	peerTTL              = 30 * time.Second
	// silentPeerDivisor reduces the heartbeats to a router that is silent: one in silentPeerDivisor is sent.
	silentPeerDivisor = 10
)

// peer is another router.
type peer struct {
	addr *net.UDPAddr
	rev  store.Rev
	boot ident.Boot
	seq  ident.Seq
	// lastSeen is the time at which the last heartbeat was received, or the registration was first read.
	lastSeen time.Time
	up       bool
	// generation, admin (its admin address) and storeReachable are as stated in the last heartbeat.
	generation     ident.Generation
	admin          string
	storeReachable bool
	// region is empty until the first heartbeat. While requests wait, routers of other regions get heartbeats at the
	// usual rate only: their bytes are most of what crosses the link between regions.
	region ident.Region
	// readySince is the time since which the router has been ready for callers; zero while it is not.
	readySince time.Time
	// otherCell is true for a router of another cell. phase distributes over time the heartbeats that are not
	// sent in every interval.
	otherCell bool
	phase     uint64
	// position is what the router knows of the registrations of targets.
	position scout.Position
	// centre is the data centre of the router, empty until it was heard; short is true while it is short of a resource.
	centre ident.DataCentre
	short  bool
}

func newPeer(id ident.ProcessID) *peer { return &peer{phase: rankOf(id)} }

// rankOf orders routers, alike at all of them.
func rankOf(id ident.ProcessID) uint64 { return xxhash.Sum64String(string(id)) >> 32 }

// registration is the value of a router's object in the store.
type registration struct {
	Address string     `json:"address"`
	Boot    ident.Boot `json:"boot"`
}

// runHeartbeats sends heartbeats to other routers and receives theirs until ctx ends.
func (r *Router) runHeartbeats(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "beacons") }()
	addr, err := net.ResolveUDPAddr("udp4", r.cfg.Heartbeat)
	if err != nil {
		return err
	}
	sock, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- r.receiveHeartbeats(sock) }()
	r.sendHeartbeats(ctx, sock)
	_ = sock.Close() // ends receiveHeartbeats
	<-done
	return nil
}

// sendHeartbeats sends heartbeats until ctx ends.
func (r *Router) sendHeartbeats(ctx context.Context, sock *net.UDPConn) {
	t := time.NewTimer(minHeartbeatInterval)
	defer t.Stop()
	for seq := ident.Seq(1); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		out, interval := r.nextHeartbeats(seq)
		for _, d := range out {
			_, _ = sock.WriteToUDP(d.payload, d.to) // the next heartbeat replaces a lost one
		}
		t.Reset(interval)
	}
}

// datagram is an encoded heartbeat and its receiver.
type datagram struct {
	to      *net.UDPAddr
	payload []byte
}

// nextHeartbeats returns the heartbeats to send now, and the time until the next ones.
func (r *Router) nextHeartbeats(seq ident.Seq) (out []datagram, interval time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	interval = r.reportInterval(now)
	if len(r.peers) == 0 {
		return nil, interval
	}
	m := r.baseHeartbeat(now, seq)
	var otherCell []byte
	if r.cellPeers < len(r.peers) {
		otherCell = r.encodeHeartbeat(m)
	}
	r.addLoads(now, m)
	r.addChanges(now, m)
	sameCell := r.encodeHeartbeat(m)
	urgent := r.urgentHeartbeats > 0
	r.urgentHeartbeats = max(r.urgentHeartbeats-1, 0)
	for id, p := range r.peers {
		silent := now.Sub(p.lastSeen) >= r.peerTimeout(p)
		if silent && p.up {
			p.up = false
			r.log.Log(event.PeerDown, "peer", id, "silent", now.Sub(p.lastSeen))
		}
		every, payload := uint64(1), sameCell
		switch {
		case p.otherCell:
			every, payload = max(uint64(otherCellInterval/interval), 1), otherCell
		case p.region != r.cfg.Region:
			every = max(uint64(heartbeatInterval(r.cellPeers, maxHeartbeatsPerSecond)/interval), 1)
		}
		if silent {
			every *= silentPeerDivisor
		}
		if payload != nil && ((uint64(seq)+p.phase)%every == 0 || urgent && !silent) {
			out = append(out, datagram{p.addr, payload})
		}
	}
	return out, interval
}

// baseHeartbeat returns a heartbeat with the fields that are for all routers; r.mu is held.
func (r *Router) baseHeartbeat(now time.Time, seq ident.Seq) *wire.Heartbeat {
	m := &wire.Heartbeat{Process: r.cfg.Name, Boot: r.boot, Seq: seq, Region: r.cfg.Region, Admin: r.cfg.Admin, StoreReachable: r.storeReachable.Load(), Ready: r.Ready(), Rollouts: r.rolloutReports(now), TargetRev: string(r.targetRev), TargetCount: len(r.targetObjects), Centre: r.cfg.Centre, Short: r.admission.Shortage() != admit.None}
	if table := r.table.Load(); table != nil {
		m.Generation = table.Generation
	}
	r.addCrashes(now, m)
	r.addAnnouncements(now, m)
	r.addEvacuations(now, m)
	return m
}

// addLoads adds the fields that are for the routers of the same cell only; r.mu is held.
func (r *Router) addLoads(now time.Time, m *wire.Heartbeat) {
	turn := uint64(m.Seq) + rankOf(r.cfg.Name) // routers add the rarer fields in different heartbeats
	for s, p := range r.pools {
		rep := p.Report(now)
		d := wire.HeartbeatDemand{Service: s, Mean: float32(rep.Demand), Waiting: rep.Waiting, Urgent: rep.Urgent, Loads: make([]wire.HeartbeatLoad, 0, len(rep.Loads))}
		for _, l := range rep.Loads {
			load := wire.HeartbeatLoad{Target: wire.KeyOf(l.Target), Running: l.Running, PendingPrompt: l.PendingPrompt, Held: l.Held}
			if turn%gapEvery == 0 {
				load.GapMicros = l.EventGap.Microseconds()
			}
			d.Loads = append(d.Loads, load)
		}
		m.Demands = append(m.Demands, d)
		addCold(m, rep.Cold)
		r.addRates(now, m, rep.Rates, turn%levelsEvery == 0)
		if turn%levelsEvery == 1 {
			addPrefixes(m, p.PrefixReport(now))
		}
		for _, t := range p.RecentlyDown(now) {
			m.DownTargets = append(m.DownTargets, wire.HeartbeatDown{Service: s, Target: t})
		}
	}
	if turn%levelsEvery == 0 {
		used := r.limiter.Used()
		for a, l := range r.limiter.Levels(now) {
			m.Usage = append(m.Usage, wire.HeartbeatUsage{Account: a, Tokens: used[a]})
			m.Levels = append(m.Levels, l)
		}
		return
	}
	m.Usage = r.changedUsage(m.Seq)
}

const (
	// gapEvery and levelsEvery are the numbers of heartbeats of which one carries the speeds of targets, and all
	// accounts with their levels.
	gapEvery    = 4
	levelsEvery = 8
	// usageRepeats is the number of heartbeats that report a changed use, as some are lost.
	usageRepeats = 3
)

// reportedUsage is the use of an account that was last reported, and the first heartbeat that reported it.
type reportedUsage struct {
	tokens ident.Tokens
	since  ident.Seq
}

// changedUsage returns the accounts whose use changed within the last heartbeats; r.mu is held.
func (r *Router) changedUsage(seq ident.Seq) (out []wire.HeartbeatUsage) {
	for a, n := range r.limiter.Used() {
		u, ok := r.reportedUsage[a]
		if !ok || u.tokens != n {
			u = reportedUsage{tokens: n, since: seq}
			r.reportedUsage[a] = u
		}
		if seq < u.since+usageRepeats {
			out = append(out, wire.HeartbeatUsage{Account: a, Tokens: n})
		}
	}
	return out
}

// encodeHeartbeat returns the encoded heartbeat, or nil if it is too large for a datagram.
func (r *Router) encodeHeartbeat(m *wire.Heartbeat) []byte {
	b, err := wire.Encode(m)
	if err != nil || len(b) > maxDatagramBytes {
		r.log.Log(event.MalformedFrame, "peer", r.cfg.Name, "bytes", len(b), "error", err)
		return nil
	}
	return b
}

// receiveHeartbeats receives and merges heartbeats until the socket is closed.
func (r *Router) receiveHeartbeats(sock *net.UDPConn) error {
	buf := make([]byte, maxDatagramBytes)
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
			r.log.Log(event.MalformedFrame, "peer", from, "error", err)
			continue
		}
		r.mergeHeartbeat(time.Now(), from, b)
		r.mergeChanges(b)
	}
}

// mergeHeartbeat applies the state that another router reports. A router that could not read the registrations of the
// others yet, because the store is unreachable, discovers them by their heartbeats.
func (r *Router) mergeHeartbeat(now time.Time, from *net.UDPAddr, b *wire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[b.Process]
	if !ok && b.Process != r.cfg.Name {
		p = newPeer(b.Process)
		p.addr = from
		r.peers[b.Process] = p
		r.cellPeers++ // until the cells are next computed
	}
	if p == nil || b.Boot < p.boot || b.Boot == p.boot && b.Seq <= p.seq {
		return
	}
	p.position = scout.Position{Rev: store.Rev(b.TargetRev), Count: b.TargetCount}
	p.generation, p.admin, p.storeReachable, p.region = b.Generation, b.Admin, b.StoreReachable, b.Region
	p.centre, p.short = b.Centre, b.Short
	if !b.Ready {
		p.readySince = time.Time{}
	} else if p.readySince.IsZero() {
		p.readySince = now
	}
	if !p.up {
		p.up = true
		r.log.Log(event.PeerUp, "peer", b.Process, "boot", b.Boot, "generation", b.Generation)
	}
	p.boot, p.seq, p.lastSeen = b.Boot, b.Seq, now
	r.mergeCrashes(now, b)
	r.mergeAnnouncements(now, b)
	r.mergeEvacuations(now, b)
	r.mergeRollouts(now, b)
	if p.otherCell {
		return
	}
	reports := r.reportsOf(b)
	for _, d := range b.DownTargets {
		if pool, ok := r.pools[d.Service]; ok {
			pool.PeerFoundDown(now, d.Target)
		}
	}
	rates, cold, prefixes := r.ratesOf(now, b), r.coldOf(b), r.prefixesOf(b)
	for s, pool := range r.pools {
		rep := reports[s]
		rep.Router, rep.Region, rep.Rates, rep.Cold, rep.Prefixes = b.Process, b.Region, rates[s], cold[s], prefixes
		pool.SetReportInterval(r.reportInterval(now))
		pool.MergeReport(now, rep)
		r.schedule(now, pool)
	}
	r.limiter.Merge(now, b.Process, usageOf(b))
}

// startingHeartbeats is the number of heartbeats that a router sends while it counts as starting.
const startingHeartbeats = 10

// usageOf returns the usage report in a heartbeat.
func usageOf(b *wire.Heartbeat) quota.UsageReport {
	rep := quota.UsageReport{Boot: b.Boot, Starting: b.Seq <= startingHeartbeats, Used: make(map[ident.AccountID]ident.Tokens, len(b.Usage))}
	for _, u := range b.Usage {
		rep.Used[u.Account] = u.Tokens
	}
	if len(b.Levels) == len(b.Usage) {
		rep.Levels = make(map[ident.AccountID]ident.Tokens, len(b.Levels))
		for i, l := range b.Levels {
			rep.Levels[b.Usage[i].Account] = l
		}
	}
	return rep
}

// reportsOf returns the reports in a heartbeat by service; r.mu is held.
func (r *Router) reportsOf(b *wire.Heartbeat) map[ident.Service]sched.Report {
	out := map[ident.Service]sched.Report{}
	for _, d := range b.Demands {
		rep := sched.Report{Demand: float64(d.Mean), Waiting: d.Waiting, Urgent: d.Urgent, Loads: make([]sched.Load, 0, len(d.Loads))}
		for _, l := range d.Loads {
			if id := r.targetKeys[l.Target]; id != "" {
				rep.Loads = append(rep.Loads, sched.Load{Target: id, Running: l.Running, PendingPrompt: l.PendingPrompt, Held: l.Held, EventGap: time.Duration(l.GapMicros) * time.Microsecond})
			}
		}
		out[d.Service] = rep
	}
	return out
}

// addTargetKey makes a target known by its key; r.mu is held.
func (r *Router) addTargetKey(id ident.TargetID) {
	k := wire.KeyOf(id)
	if other, ok := r.targetKeys[k]; ok && other != id {
		id = "" // ambiguous
	}
	r.targetKeys[k] = id
}

// heartbeatInterval returns the time between two heartbeats to each of n other routers at a rate per second.
func heartbeatInterval(n int, perSecond time.Duration) time.Duration {
	return max(minHeartbeatInterval, time.Duration(n)*time.Second/perSecond)
}

// reportInterval returns the present interval between two heartbeats to a router of the same cell; r.mu is held.
func (r *Router) reportInterval(now time.Time) time.Duration {
	for _, p := range r.pools {
		if p.RequestsWait() {
			r.busyUntil = now.Add(busyTime)
		}
	}
	if now.Before(r.busyUntil) {
		return heartbeatInterval(r.cellPeers, busyHeartbeatsPerSecond)
	}
	return heartbeatInterval(r.cellPeers, maxHeartbeatsPerSecond)
}

// peerTimeout returns the silence after which a router counts as down; r.mu is held.
func (r *Router) peerTimeout(p *peer) time.Duration {
	if p.otherCell {
		return peerTimeoutIntervals * otherCellInterval
	}
	return max(minPeerTimeout, peerTimeoutIntervals*heartbeatInterval(r.cellPeers, maxHeartbeatsPerSecond))
}

// routerCount returns the number of routers that may be running, including this one; r.mu is held.
func (r *Router) routerCount(now time.Time) int {
	n := 1
	for _, p := range r.peers {
		if now.Sub(p.lastSeen) < peerTTL {
			n++
		}
	}
	return n
}

// applyRegistration adds or updates another router from its registration; r.mu is held.
func (r *Router) applyRegistration(now time.Time, o store.Object) error {
	var g registration
	if err := json.Unmarshal(o.Value, &g); err != nil {
		return err
	}
	if o.Name == string(r.cfg.Name) {
		r.ownAddress = g.Address
		return nil
	}
	addr, err := netip.ParseAddrPort(g.Address) // a name would be looked up while r.mu is held
	if err != nil {
		return err
	}
	if o.Name == "" || addr.Port() == 0 || !addr.Addr().Is4() {
		return errors.Errorf("%.100q is not an IPv4 address with a port, or the name is missing", g.Address)
	}
	id := ident.ProcessID(o.Name)
	p, ok := r.peers[id]
	if !ok {
		p = newPeer(id)
		p.lastSeen = now
		r.peers[id] = p
		r.cellPeers++ // until the cells are next computed
	}
	p.addr, p.rev = net.UDPAddrFromAddrPort(addr), o.Rev
	return nil
}

// routerListTimeout limits the time for which the registration waits for the list of routers.
const routerListTimeout = time.Second

// register keeps this router registered until ctx ends: it writes the registration at the start and when a list of
// routers lacks it. Nothing is written if an earlier process of the same name registered the same address.
func (r *Router) register(ctx context.Context) error {
	v, err := json.Marshal(registration{Address: r.cfg.Heartbeat, Boot: r.boot})
	if err != nil {
		return err
	}
	t := time.NewTimer(routerListTimeout)
	defer t.Stop()
	registered := false
	select {
	case registered = <-r.registered:
	case <-t.C:
	case <-ctx.Done():
	}
	for again := false; ctx.Err() == nil; again = true {
		if !registered {
			if again {
				follow.Pause(ctx, r.rewriteDelay())
				r.log.Log(event.RecordWrittenAgain, "sort", RouterKind, "name", r.cfg.Name)
			}
			r.tryRegistration(ctx, v)
		}
		select {
		case registered = <-r.registered:
		case <-ctx.Done():
		}
	}
	return nil
}

// tryRegistration writes this router's registration until that succeeds or ctx ends.
func (r *Router) tryRegistration(ctx context.Context, v []byte) {
	for ctx.Err() == nil {
		err := r.writeRegistration(ctx, v)
		if err == nil {
			return
		}
		r.log.Log(event.StoreDown, "sort", RouterKind, "error", err)
		follow.Pause(ctx, follow.MinRetry)
	}
}

// rewriteDelay returns the time after which this router writes what it misses in the store: the routers do so one after
// the other, and find what others wrote before them. Just after an outage, it is not known yet who reaches the store.
func (r *Router) rewriteDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, rank := time.Now(), 0
	for id, p := range r.peers {
		if id < r.cfg.Name && now.Sub(p.lastSeen) < r.peerTimeout(p) {
			rank++
		}
	}
	return time.Duration(rank) * writeRankDelay
}

// writeRegistration creates this router's object, or replaces that of an earlier process of the same name.
func (r *Router) writeRegistration(ctx context.Context, v []byte) error {
	o := store.Object{Kind: RouterKind, Name: string(r.cfg.Name), Value: v}
	_, err := r.store.Create(ctx, o)
	if !errors.Is(err, store.ErrExists) {
		return err
	}
	old, err := r.store.Get(ctx, RouterKind, o.Name)
	if err != nil {
		return err
	}
	var g registration
	if json.Unmarshal(old.Value, &g) == nil && g.Address == r.cfg.Heartbeat {
		return nil // other routers need only the address
	}
	o.Rev = old.Rev
	_, err = r.store.Update(ctx, o)
	return err
}
