package fleet

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Targets that announce in their answers that they leave.
//
// Load pattern: a target says so in every answer from some moment on, while its registration still says that it is
// ready: the store is away, the registration comes later or never, or an older copy of it comes again. The statement is
// that of one process, and only another boot of the target ends it; a target without a boot is another one once its
// registration was removed. Another target at the same address has another id.

const (
	// announcementTTL is the time for which an announcement is passed on to other routers; announcedMax limits those that
	// are remembered and announcementsMax those that are passed on at a time.
	announcementTTL  = time.Minute
	announcedMax     = 4096
	announcementsMax = 64
)

// Announcement is the statement of a target that it leaves.
type Announcement struct {
	Target ident.TargetID
	// Boot is the process that made the statement.
	Boot ident.Boot
	At   time.Time
}

// Announce records that a target leaves, as it stated at a.At. A statement of an earlier boot than the one that is
// registered, or announced, is ignored.
func (f *Fleet) Announce(now time.Time, a Announcement) []Event {
	if old, ok := f.announced[a.Target]; ok && old.Boot >= a.Boot {
		return nil
	}
	e, ok := f.targets[a.Target]
	if ok && a.Boot < e.Boot {
		return nil
	}
	if len(f.announced) >= announcedMax {
		f.forgetOldestAnnouncement()
	}
	f.announced[a.Target] = a
	if !ok || e.Leaving || e.Boot != a.Boot {
		return nil
	}
	e.Leaving = true
	if !e.missingSince.IsZero() {
		f.missing--
		f.forget(now, e)
		return []Event{{Target: e.Target, Change: Deregistered}}
	}
	return []Event{{Target: e.Target, Change: Leaving}}
}

// Announcements returns the newest announcements of targets whose registrations do not say that they leave.
func (f *Fleet) Announcements(now time.Time) (out []Announcement) {
	for id, a := range f.announced {
		if e, ok := f.targets[id]; ok && e.Boot == a.Boot && e.registeredReady && now.Sub(a.At) < announcementTTL {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Announcement) int { return b.At.Compare(a.At) })
	return out[:min(len(out), announcementsMax)]
}

// hasAnnounced reports whether the process of a registration announced that it leaves.
func (f *Fleet) hasAnnounced(t Target) bool {
	a, ok := f.announced[t.ID]
	return ok && a.Boot == t.Boot
}

func (f *Fleet) forgetOldestAnnouncement() {
	var oldest Announcement
	for _, a := range f.announced {
		if oldest.Target == "" || a.At.Before(oldest.At) {
			oldest = a
		}
	}
	delete(f.announced, oldest.Target)
}
