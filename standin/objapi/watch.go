package objapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/store"
	"hickoryvane.example/standin/reply"
)

type watchEvent struct {
	Type   string `json:"type"`
	Object any    `json:"object"`
}

func (a *API) listOrWatch() http.HandlerFunc {
	list, watch := a.withFaults("list", a.readLimiter, a.list), a.withFaults("watch", a.readLimiter, a.watch)
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "true" {
			watch(w, r)
		} else {
			list(w, r)
		}
	}
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	all, rev, err := a.store.List(r.Context(), r.PathValue("sort"))
	if err != nil {
		answerObject(w, http.StatusOK, store.Object{}, err)
		return
	}
	l := store.ItemList{
		APIVersion: store.ItemOf(store.Object{}).APIVersion, Kind: "List",
		Meta: store.Meta{Rev: rev}, Items: []store.Item{},
	}
	all, l.Meta.Continue = page(all, r)
	for _, o := range all {
		l.Items = append(l.Items, store.ItemOf(o))
	}
	reply.JSON(w, http.StatusOK, l)
}

// page returns the part of a list that a call asks for, and the name after which the next part begins.
// Unlike the real API it shows the objects as they are at each page, not as they were at the first.
func page(all []store.Object, r *http.Request) (part []store.Object, next string) {
	after := r.URL.Query().Get("continue")
	i := slices.IndexFunc(all, func(o store.Object) bool { return o.Name > after })
	if i < 0 {
		return nil, ""
	}
	all = all[i:]
	n, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || n <= 0 || n >= len(all) {
		return all, ""
	}
	return all[:n], all[n-1].Name
}

// watch streams events. A version that is too old is answered with status 410 at the start and with
// an event of the type ERROR later.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	sort, rev := r.PathValue("sort"), store.Rev(r.URL.Query().Get("resourceVersion"))
	end := time.NewTimer(watchDuration(r))
	defer end.Stop()
	rc, out := http.NewResponseController(w), json.NewEncoder(w)
	for started := false; ; started = true {
		events, next, changed, err := a.store.Events(sort, rev)
		if err != nil {
			failWatch(w, out, started, err)
			return
		}
		if !started {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusOK)
		}
		for _, e := range events {
			if out.Encode(watchEvent{e.Type, store.ItemOf(e.Object)}) != nil {
				return
			}
		}
		_ = rc.Flush() // a writer without a connection need not flush
		rev = next
		select {
		case <-changed:
		case <-end.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// stop ends a watch with a failure.
func failWatch(w http.ResponseWriter, out *json.Encoder, started bool, err error) {
	switch {
	case !started:
		answerObject(w, http.StatusOK, store.Object{}, err)
	case errors.Is(err, store.ErrRevTooOld):
		_ = out.Encode(watchEvent{store.EventError, failureStatus(http.StatusGone, "Expired")}) // the caller may be gone
	default:
		reply.Abort(w)
	}
}
