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
	"hickoryvane.example/core/store"
)

const (
	// snapshotPath is the path of a snapshot on the admin address.
	snapshotPath = "/snapshot"
	// relayEvery is the interval at which a router that lacks something asks another one, well below the
	// time within which a change has to be in force.
	relayInterval = 250 * time.Millisecond
	// relayTimeout bounds one question.
	relayTimeout = 600 * time.Millisecond
	// behindMax is the time for which another router may know a newer configuration before it is asked.
	// Changes reach all routers within some ten milliseconds of each other.
	lagMax = 400 * time.Millisecond
)

// snapshot is what a router knows of the store.
type snapshot struct {
	Config          store.Object
	Targets         []store.Object
	RolloutRequests []store.Object
}

// keep replaces the objects of targets.
func (r *Router) replaceTargetObjects(l []store.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.targetObjects)
	for _, o := range l {
		r.targetObjects[o.Name] = o
	}
}

// keepOne takes in a change of a target's object.
func (r *Router) updateTargetObject(c store.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		delete(r.targetObjects, c.Object.Name)
		return
	}
	r.targetObjects[c.Object.Name] = c.Object
}

// serveSnapshot gives other routers what this one knows.
func (r *Router) serveSnapshot(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	s := snapshot{Config: r.configObject, Targets: make([]store.Object, 0, len(r.targetObjects))}
	for _, o := range r.targetObjects {
		s.Targets = append(s.Targets, o)
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
	_ = json.NewEncoder(w).Encode(s) // the reader may be gone
}

// relay reads from another router what the store does not tell this one.
func (r *Router) relaySnapshots(ctx context.Context) error {
	client := sling.New().Client(&http.Client{Timeout: relayTimeout, Transport: &http.Transport{DisableCompression: true}})
	var behind time.Time
	for ctx.Err() == nil {
		pause(ctx, relayInterval)
		now := time.Now()
		admin, newer := r.snapshotSource(now)
		if !newer {
			behind = time.Time{}
		} else if behind.IsZero() {
			behind = now
		}
		if admin == "" || r.storeReachable.Load() && r.table.Load() != nil && (behind.IsZero() || now.Sub(behind) < lagMax) {
			continue
		}
		if err := r.fetchSnapshot(client, admin); err != nil {
			r.log.Log(event.PeerUnreachable, "peer", admin, "error", err)
		}
	}
	return nil
}

// source returns the admin address of the best router to ask, and whether it has a newer configuration. One
// that reaches the store goes first; without any such, one that knows a configuration helps a new process.
func (r *Router) snapshotSource(now time.Time) (admin string, newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.table.Load()
	var best *peer
	for _, x := range r.peers {
		if x.admin == "" || x.generation == 0 || now.Sub(x.lastSeen) >= r.peerTimeout(x) {
			continue
		}
		if !x.storeReachable && p != nil && r.targetsListed.Load() && x.generation <= p.Generation {
			continue
		}
		if best == nil || x.storeReachable && !best.storeReachable || x.storeReachable == best.storeReachable && x.generation > best.generation {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	return best.admin, p == nil || best.generation > p.Generation
}

// fetch reads a snapshot and takes it in as a list that is older than what the store says.
func (r *Router) fetchSnapshot(client *sling.Sling, admin string) (err error) {
	defer func() { err = errors.WithMessage(err, "read snapshot") }()
	began := time.Now()
	var s snapshot
	res, err := client.New().Get("http://" + admin + snapshotPath).ReceiveSuccess(&s)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	r.applyConfig(s.Config)
	for _, o := range s.RolloutRequests {
		r.applyRollout(o, admin)
	}
	r.verifyVersions(began)
	if r.storeReachable.Load() {
		return nil // the store has answered meanwhile, and knows better
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
