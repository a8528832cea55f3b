package direct

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
	"hickoryvane.example/router/follow"
)

const (
	// snapshotPath is the path on the admin address at which a router serves its snapshot.
	snapshotPath = "/snapshot"
	// withoutTargets is the query of a snapshot without the registrations of targets, which are most of its bytes.
	withoutTargets = "targets=no"
	// relayInterval is the interval at which a router that lacks data asks another router for it, well below
	// the time within which a change has to be in force.
	relayInterval = 250 * time.Millisecond
	// relayTimeout limits one request for a snapshot.
	relayTimeout = 600 * time.Millisecond
	// joinTime limits the time for which a router that starts waits for the other routers' configurations, and
	// joinInterval is the interval at which it looks for them.
	joinTime     = 500 * time.Millisecond
	joinInterval = 20 * time.Millisecond
	// lagMax is the time for which another router may have a newer configuration before it is asked for it.
	// Normally the store delivers a change to all routers within some ten milliseconds of each other.
	lagMax = 400 * time.Millisecond
)

// snapshotMax limits a snapshot, in bytes: the largest configuration and some thousand registrations.
const snapshotMax = 8 << 20

// boundedTransport limits the bodies of answers to snapshotMax, as a peer may be faulty.
type boundedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := b.RoundTripper.RoundTrip(req)
	if err == nil {
		res.Body = http.MaxBytesReader(nil, res.Body, snapshotMax)
	}
	return res, err
}

// snapshot holds the objects of the store as a router last read them.
type snapshot struct {
	Config          store.Object
	Targets         []store.Object
	RolloutRequests []store.Object `json:"Orders"`
}

// replaceTargetObjects replaces the registrations of targets that are kept for snapshots by those of a list.
func (r *Router) replaceTargetObjects(l []store.Object, asOf store.Rev) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.targetObjects)
	r.feed.Reset()
	for _, o := range l {
		r.keepTargetObject(o)
	}
	r.follower.Listed(asOf, r.scoutPeers(time.Now()))
}

// updateTargetObject applies a change of one registration to those kept for snapshots.
func (r *Router) updateTargetObject(c store.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		r.recordTargetRev(c.Object.Rev)
		delete(r.targetObjects, c.Object.Name)
		return
	}
	r.keepTargetObject(c.Object)
}

// keepTargetObject keeps a registration for snapshots, unless not even its name could be read; r.mu is held.
func (r *Router) keepTargetObject(o store.Object) {
	if o.Name == "" {
		return
	}
	r.recordTargetRev(o.Rev)
	r.targetObjects[o.Name] = o
}

// serveSnapshot serves this router's snapshot to other routers.
func (r *Router) serveSnapshot(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	s := snapshot{Config: r.configObject}
	if req.URL.RawQuery != withoutTargets {
		s.Targets = make([]store.Object, 0, len(r.targetObjects))
		for _, o := range r.targetObjects {
			s.Targets = append(s.Targets, o)
		}
	}
	for _, m := range r.rollouts {
		if m.object.Name != "" {
			s.RolloutRequests = append(s.RolloutRequests, m.object)
		}
	}
	r.mu.Unlock()
	if s.Config.Name == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s) // the other router may have disconnected
}

// relaySnapshots reads the snapshot of another router while the store cannot be reached or delivers its changes
// late.
func (r *Router) relaySnapshots(ctx context.Context) error {
	client := sling.New().Client(&http.Client{Timeout: relayTimeout, Transport: boundedTransport{&http.Transport{DisableCompression: true, MaxResponseHeaderBytes: headerMax}}})
	r.join(ctx, client)
	for ctx.Err() == nil {
		follow.Pause(ctx, relayInterval)
		now := time.Now()
		admin, newer := r.snapshotSource(now)
		behind := r.observeNewer(now, newer)
		if admin == "" || r.storeReachable.Load() && r.table.Load() != nil && behind < lagMax {
			continue
		}
		if err := r.fetchSnapshot(ctx, client, admin); err != nil {
			r.logNotRead(now, admin, err)
		}
	}
	return nil
}

// observeNewer records whether a peer has a newer configuration, and returns for how long one has had it.
func (r *Router) observeNewer(now time.Time, newer bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !newer {
		r.behindSince = time.Time{}
	} else if r.behindSince.IsZero() {
		r.behindSince = now
	}
	return r.behindFor(now)
}

// logNotRead logs that a snapshot could not be read, as a warning if its configuration is needed.
func (r *Router) logNotRead(now time.Time, admin string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind, newest := r.behindFor(now), ident.Generation(0)
	if behind == 0 {
		r.log.Log(event.PeerUnreachable, "peer", admin, "error", err)
		return
	}
	for _, p := range r.peers {
		newest = max(newest, p.generation)
	}
	r.log.Log(event.ConfigBehind, "peer", admin, "newer", newest, "behind", behind, "error", err)
}

// join waits until all registered routers were heard, but not longer than joinTime, and takes over a configuration that
// is newer than the store's: a store that was restored from an older copy may have an older one than routers that run.
func (r *Router) join(ctx context.Context, client *sling.Sling) {
	jctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	for jctx.Err() == nil {
		follow.Pause(jctx, joinInterval)
		now := time.Now()
		if admin, newer := r.snapshotSource(now); newer {
			if err := r.fetchSnapshot(jctx, client, admin); err != nil {
				r.log.Log(event.PeerUnreachable, "peer", admin, "error", err)
			}
			continue
		}
		if r.table.Load() != nil && r.heardAll() {
			break
		}
	}
	r.joined.Store(true)
	r.logReady()
}

// heardAll reports whether the routers were listed and each of them has told its configuration.
func (r *Router) heardAll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.generation == 0 {
			return false
		}
	}
	return r.routersListed
}

// snapshotSource returns the admin address of the best router to ask, and whether that router has a newer
// configuration. A router that has a configuration can help a new process also without the store.
func (r *Router) snapshotSource(now time.Time) (admin string, newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.table.Load()
	var best *peer
	for _, x := range r.peers {
		if x.admin == "" || x.generation == 0 || now.Sub(x.lastSeen) >= r.peerTimeout(x) {
			continue
		}
		if !x.storeReachable && table != nil && r.targetsListed.Load() && x.generation <= table.Generation {
			continue
		}
		if best == nil || r.betterSource(x, best) {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	return best.admin, table == nil || best.generation > table.Generation
}

// betterSource reports whether a snapshot of x is better than one of y. A router that reads the targets from the store
// itself needs the newest configuration only; r.mu is held.
func (r *Router) betterSource(x, y *peer) bool {
	if x.generation != y.generation && (r.storeReachable.Load() || x.storeReachable == y.storeReachable) {
		return x.generation > y.generation
	}
	return x.storeReachable && !y.storeReachable
}

// fetchSnapshot reads the snapshot of another router and applies it as data that is older than the store's.
func (r *Router) fetchSnapshot(ctx context.Context, client *sling.Sling, admin string) (err error) {
	defer func() { err = errors.WithMessage(err, "read snapshot") }()
	began := time.Now()
	url := "http://" + admin + snapshotPath
	if r.storeReachable.Load() {
		url += "?" + withoutTargets // those of the store are newer
	}
	req, err := client.New().Get(url).Request()
	if err != nil {
		return err
	}
	var s snapshot
	res, err := client.Do(req.WithContext(ctx), &s, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	r.applyConfig(s.Config, admin)
	for _, o := range s.RolloutRequests {
		r.applyRollout(o, admin)
	}
	r.verifyVersions(began)
	if s.Targets == nil || r.storeReachable.Load() {
		return nil // the store has answered, and its list is newer
	}
	list := r.decodeTargets(s.Targets)
	r.updateFleet(func(f *fleet.Fleet) []fleet.Event {
		events := f.ApplyList(time.Now(), list)
		f.StoreUnreachable()
		return events
	})
	if !r.targetsListed.Swap(true) {
		r.logReady()
		r.log.Log(event.StoreReadFromPeer, "peer", admin, "targets", len(list), "rev", s.Config.Rev)
	}
	return nil
}
