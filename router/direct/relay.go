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
	relayEvery = 250 * time.Millisecond
	// relayTimeout bounds one question.
	relayTimeout = 600 * time.Millisecond
	// behindMax is the time for which another router may know a newer configuration before it is asked.
	// Changes reach all routers within some ten milliseconds of each other.
	behindMax = 400 * time.Millisecond
)

// snapshot is what a router knows of the store.
type snapshot struct {
	Config  store.Object
	Targets []store.Object
	Orders  []store.Object
}

// keep replaces the objects of targets.
func (r *Router) keep(l []store.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.objects)
	for _, o := range l {
		r.objects[o.Name] = o
	}
}

// keepOne takes in a change of a target's object.
func (r *Router) keepOne(c store.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		delete(r.objects, c.Object.Name)
		return
	}
	r.objects[c.Object.Name] = c.Object
}

// serveSnapshot gives other routers what this one knows.
func (r *Router) serveSnapshot(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	s := snapshot{Config: r.config, Targets: make([]store.Object, 0, len(r.objects))}
	for _, o := range r.objects {
		s.Targets = append(s.Targets, o)
	}
	for _, m := range r.moves {
		if m.object.Name != "" {
			s.Orders = append(s.Orders, m.object)
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
func (r *Router) relay(ctx context.Context) error {
	client := sling.New().Client(&http.Client{Timeout: relayTimeout, Transport: &http.Transport{DisableCompression: true}})
	var behind time.Time
	for ctx.Err() == nil {
		pause(ctx, relayEvery)
		now := time.Now()
		admin, newer := r.source(now)
		if !newer {
			behind = time.Time{}
		} else if behind.IsZero() {
			behind = now
		}
		if admin == "" || r.linked.Load() && r.plan.Load() != nil && (behind.IsZero() || now.Sub(behind) < behindMax) {
			continue
		}
		if err := r.fetch(client, admin); err != nil {
			r.log.Log(event.PeerUnreachable, "peer", admin, "error", err)
		}
	}
	return nil
}

// source returns the admin address of the best router to ask, and whether it has a newer configuration. One
// that reaches the store goes first; without any such, one that knows a configuration helps a new process.
func (r *Router) source(now time.Time) (admin string, newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.plan.Load()
	var best *peer
	for _, x := range r.peers {
		if x.admin == "" || x.generation == 0 || now.Sub(x.heard) >= r.deaf(x) {
			continue
		}
		if !x.linked && p != nil && r.listed.Load() && x.generation <= p.Generation {
			continue
		}
		if best == nil || x.linked && !best.linked || x.linked == best.linked && x.generation > best.generation {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	return best.admin, p == nil || best.generation > p.Generation
}

// fetch reads a snapshot and takes it in as a list that is older than what the store says.
func (r *Router) fetch(client *sling.Sling, admin string) (err error) {
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
	r.configure(s.Config)
	for _, o := range s.Orders {
		r.order(o, admin)
	}
	r.settleVersions(began)
	if r.linked.Load() {
		return nil // the store has answered meanwhile, and knows better
	}
	list := r.decode(s.Targets)
	r.change(func(f *fleet.Fleet) []fleet.Event {
		events := f.Listed(time.Now(), list)
		f.Away()
		return events
	})
	if !r.listed.Swap(true) {
		r.announceReady()
		r.log.Log(event.StoreReadFromPeer, "peer", admin, "targets", len(list), "rev", s.Config.Rev)
	}
	return nil
}
