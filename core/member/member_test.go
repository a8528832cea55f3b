package member_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

var (
	start   = time.Unix(1_800_000_000, 0)
	regions = member.Regions{"west-a": "west", "west-b": "west", "east-a": "east"}
)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func vm(role member.Role, centre ident.DataCentre, i int) member.Entry {
	return member.Entry{VM: ident.ProcessID(string(role) + "-" + string(centre) + "-" + strconv.Itoa(i)), Role: role, Centre: centre}
}

func fleet() (list []member.Entry) {
	for i := range 4 {
		list = append(list, vm(member.Router, "west-a", i), vm(member.Router, "east-a", i))
	}
	for i := range 20 {
		list = append(list, vm(member.Agent, "west-b", i), vm(member.Agent, "east-a", i))
	}
	return list
}

func pool(list []member.Entry) (ids []ident.ProcessID) {
	for _, e := range list {
		if e.Role == member.Agent {
			ids = append(ids, e.VM)
		}
	}
	return ids
}

// Guards against a dead process that still gets work: suspected after 3 s, gone after 10 s, and gone
// at once when suspected and no longer listed. A message brings it back.
func TestSilentMemberIsSuspectedThenGone(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	m := member.New(list[0], regions)
	m.ApplyList(at(0), list)
	p := list[len(list)-1]
	m.StartMonitoring(at(0), p.VM)
	for _, c := range []struct {
		s    float64
		want member.State
	}{{2.9, member.Live}, {3, member.Suspected}, {9.9, member.Suspected}, {10, member.Gone}} {
		m.Tick(at(c.s))
		g.Expect(m.State(p.VM)).To(Equal(c.want), "after %v s", c.s)
	}
	m.RecordMessage(at(11), p, 1, false)
	g.Expect(m.State(p.VM)).To(Equal(member.Live))
	m.Tick(at(14.5))
	changes := m.ApplyList(at(14.6), list[:len(list)-1])
	g.Expect(changes).To(HaveLen(1))
	g.Expect(m.State(p.VM)).To(Equal(member.Gone))
}

// Guards against processes being given up only because no connection to them is wanted.
func TestUnmonitoredMemberStaysAsListed(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	m := member.New(list[0], regions)
	m.ApplyList(at(0), list)
	p := list[5].VM
	m.StartMonitoring(at(0), p)
	m.StopMonitoring(at(2), p)
	g.Expect(m.Tick(at(60))).To(BeEmpty())
	g.Expect(m.State(p)).To(Equal(member.Live))
	fresh := vm(member.Agent, "west-b", 99) // known from messages before the list names it
	m.RecordMessage(at(60), fresh, 1, false)
	g.Expect(m.State(fresh.VM)).To(Equal(member.Live))
	m.Tick(at(63))
	g.Expect(m.State(fresh.VM)).To(Equal(member.Gone))
}

// Guards against new work for a leaving target when one source is behind, and against a replaced
// process that stays out because its predecessor left.
func TestLeavingLastsUntilLaterBoot(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	m := member.New(list[0], regions)
	m.ApplyList(at(0), list)
	p := list[len(list)-1]
	m.RecordMessage(at(1), p, 5, true)
	g.Expect(m.State(p.VM)).To(Equal(member.Leaving))
	m.ApplyList(at(2), list)
	m.RecordMessage(at(2), p, 5, false)
	m.RecordMessage(at(2), p, 4, false)
	g.Expect(m.State(p.VM)).To(Equal(member.Leaving))
	m.RecordMessage(at(3), p, 6, false)
	g.Expect(m.State(p.VM)).To(Equal(member.Live))
	list[len(list)-1].Leaving = true
	m.ApplyList(at(4), list)
	m.RecordMessage(at(4), p, 6, false)
	g.Expect(m.State(p.VM)).To(Equal(member.Leaving))
	g.Expect(m.ClaimOwners("r", []ident.ProcessID{p.VM})).To(BeEmpty())
}

// Guards against processes that choose differently from the same members.
func TestProcessesMakeTheSameChoices(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	a, b := member.New(list[0], regions), member.New(list[3], regions)
	a.ApplyList(at(0), list)
	b.ApplyList(at(0), list)
	for _, r := range []ident.Region{"west", "east"} {
		g.Expect(a.StoreWatchers(r)).To(HaveLen(member.StoreWatcherCount))
		g.Expect(a.StoreWatchers(r)).To(Equal(b.StoreWatchers(r)))
		g.Expect(a.LinkRouters(r)).To(Equal(b.LinkRouters(r)))
	}
	g.Expect(a.ClaimOwners("r1", pool(list))).To(HaveLen(member.ClaimOwnerCount))
	g.Expect(a.ClaimOwners("r1", pool(list))).To(Equal(b.ClaimOwners("r1", pool(list))))
	first, backups := 0, 0
	for _, e := range list[:8] {
		m := member.New(e, regions)
		m.ApplyList(at(0), list)
		if far, backup := m.Counterparts(); len(far) > 0 {
			first++
			if backup {
				backups++
			}
			g.Expect(m.LinkRouters(regions[e.Centre])).To(ContainElement(e.VM))
		}
	}
	g.Expect([]int{first, backups}).To(Equal([]int{4, 2}))
}

// Guards against agents to which no router of their region connects.
func TestSubsetsCoverPool(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	covered := map[ident.ProcessID]bool{}
	for _, e := range list[:8] {
		m := member.New(e, regions)
		m.ApplyList(at(0), list)
		for _, id := range m.Subset("s", pool(list), member.SubsetMax) {
			covered[id] = true
		}
	}
	g.Expect(covered).To(HaveLen(40))
}

// Guards against agents that no router connects to, and that therefore get no configuration, when a region has
// too few routers for the usual number of connections.
func TestOneRouterCoversItsRegion(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	alone := list[:1:1]
	for _, e := range list {
		if e.Role == member.Agent {
			alone = append(alone, e)
		}
	}
	m := member.New(list[0], regions)
	m.ApplyList(at(0), alone)
	got := m.Subset("s", pool(list), member.SubsetMax)
	g.Expect(got).To(HaveLen(20))
	for _, id := range got {
		g.Expect(string(id)).To(ContainSubstring("west-b"))
	}
}

// Guards against an agent that is never connected again after it announced its stop and was started again on the
// same VM: only a connection shows its later boot, and no router connects to a leaving agent.
func TestAgentReturnsAfterAnnouncedStop(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	m := member.New(list[0], regions)
	m.ApplyList(at(0), list)
	p := list[len(list)-2]
	m.RecordMessage(at(1), p, 1, true)
	m.Tick(at(10.9))
	g.Expect(m.State(p.VM)).To(Equal(member.Leaving))
	m.Tick(at(11))
	g.Expect(m.State(p.VM)).To(Equal(member.Live))
	m.RecordMessage(at(12), p, 1, true)
	g.Expect(m.State(p.VM)).To(Equal(member.Leaving))
}

// Guards against connections that grow with the fleet, that prefer the other region, or that move
// when an unrelated agent goes.
func TestSubsetIsBoundedLocalAndStable(t *testing.T) {
	g := NewWithT(t)
	list := fleet()
	m := member.New(list[0], regions)
	m.ApplyList(at(0), list)
	before := m.Subset("s", pool(list), member.SubsetMax)
	g.Expect(before).To(HaveLen(member.SubsetMax))
	for _, id := range before {
		g.Expect(string(id)).To(ContainSubstring("west-b"))
	}
	m.RecordMessage(at(1), member.Entry{VM: before[0]}, 1, true)
	after := m.Subset("s", pool(list), member.SubsetMax)
	g.Expect(after[:member.SubsetMax-1]).To(Equal(before[1:]))
	var few []ident.ProcessID
	for _, id := range pool(list) {
		if e := string(id); e == "agent-west-b-1" || e > "agent-east" && e < "agent-west" {
			few = append(few, id)
		}
	}
	got := m.Subset("s", few, member.SubsetMax)
	g.Expect(got).To(HaveLen(member.SubsetMax))
	g.Expect(got[0]).To(Equal(ident.ProcessID("agent-west-b-1")))
}
