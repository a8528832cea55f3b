package slope

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/wire"
)

// measuredSeconds is the virtual time of a measurement. It is long because a second of virtual time takes little
// processor time.
const measuredSeconds = 500

// requestsPerDaemon and offersPerEngine are rates per second at the size in two years. Each request is offered to two
// engines (pick.OffersMax).
const (
	requestsPerDaemon = float64(requestsPerSecond) / daemonCount
	offersPerEngine   = 2 * float64(requestsPerSecond) / engineCount
)

// callAtRate calls f rate times per second of virtual time, evenly spread over measuredSeconds.
func callAtRate(rate float64, f func(i int, now time.Time)) {
	start := time.Unix(1_800_000_000, 0)
	for i := range int(rate * measuredSeconds) {
		f(i, start.Add(time.Duration(float64(i)/rate*float64(time.Second))))
	}
}

func newPoint(size int, cpuUsed time.Duration, bytes, memory float64) Point {
	return Point{
		Size: size, CPUMillisPerSecond: float64(cpuUsed.Microseconds()) / 1000 / measuredSeconds,
		BytesPerSecond: bytes, MemoryBytes: memory,
	}
}

// measurePicking returns the cost of picking targets in a router that is connected to size targets, 12 per model.
func measurePicking(size int) Point {
	before := liveHeapBytes()
	p := pick.New(rand.New(rand.NewPCG(1, 1)), "west")
	start := time.Unix(1_800_000_000, 0)
	service := func(i int) ident.Service { return ident.Service(fmt.Sprintf("model%d", i/12)) }
	for i := range size {
		p.Put(start, pick.Target{
			ID: ident.TargetID(fmt.Sprint(i)), Agent: ident.ProcessID(fmt.Sprint(i)), Region: "west",
			Service: service(i), Version: "v1",
		})
		p.ApplyCache(&wire.Cache{Target: ident.TargetID(fmt.Sprint(i)), Seq: 1, Reset: true, Added: makeBlocks(i, 1024)})
	}
	cpuUsed := cpuTime(func() {
		callAtRate(float64(size), func(i int, now time.Time) {
			id := ident.TargetID(fmt.Sprint(i % size))
			p.ApplyLoad(now, &wire.Load{Target: id, Service: service(i % size), Version: "v1", Seq: ident.Seq(i), Window: 16, LowestWaitingTier: 255})
		})
		var dst []pick.Choice
		callAtRate(requestsPerDaemon, func(i int, now time.Time) {
			r := pick.Request{
				ID: "r", Service: service(i % size), Version: "v1", Prompt: 4096, Output: 256, Blocks: makeBlocks(i%size, 64),
			}
			for _, c := range p.Pick(now, r, dst[:0]) {
				p.RecordOffer(now, c.Target, &r)
				p.RecordOutcome(now, c.Target, pick.Outcome{TimeToFirstByte: time.Second, Prompt: 4096, Output: 256})
			}
		})
	})
	memory := liveHeapBytes() - before
	runtime.KeepAlive(p)
	return newPoint(size, cpuUsed, 2*requestsPerDaemon*offerBytes(), memory)
}

func makeBlocks(seed, n int) []ident.Block {
	list := make([]ident.Block, n)
	for i := range list {
		list[i] = ident.Block(seed*1024 + i)
	}
	return list
}

// offerBytes returns the encoded length of an offer whose prompt has 4,096 tokens.
func offerBytes() float64 {
	b, err := wire.Encode(&wire.Offer{
		ID: "0123456789abcdef0123456789abcdef", Account: "account", Service: "model", Version: "v1", Route: "chat",
		WaitMillis: 5000, Prompt: 4096, ExpectedOutput: 256, Fingerprint: 1 << 60, Blocks: []ident.Block(makeBlocks(1<<40, 64)),
	})
	if err != nil {
		return 0
	}
	return float64(len(b))
}

// measureQueue returns the cost of the queue of an agent at which size offers wait.
func measureQueue(size int) Point {
	before := liveHeapBytes()
	q := queue.New()
	push := func(i int, now time.Time) {
		_, _ = q.Push(now, queue.Item{
			ID: ident.RequestID(fmt.Sprint(i)), Account: ident.AccountID(fmt.Sprint(i % 100)), Weight: 1,
			Tier: ident.Tier(i % 5), Deadline: now.Add(time.Hour), Prompt: 100, Output: 50,
		})
	}
	start := time.Unix(1_800_000_000, 0)
	for i := range size {
		push(-1-i, start)
	}
	cpuUsed := cpuTime(func() {
		callAtRate(offersPerEngine, func(i int, now time.Time) {
			push(i, now)
			if it, _, ok := q.Next(now); ok {
				q.Started(now, it.ID)
				q.FirstToken(now, it.ID)
				q.Finished(now, it.ID, queue.Outcome{Prompt: 100, Output: 50})
			}
		})
		callAtRate(10, func(_ int, now time.Time) { q.Expire(now) })
	})
	memory := liveHeapBytes() - before
	runtime.KeepAlive(q)
	load, err := wire.Encode(&wire.Load{Target: "engine-000", Service: "model", Version: "v1", WaitingByTier: []ident.Tokens{1000, 1000, 1000}})
	if err != nil {
		return Point{Size: size}
	}
	// One load report per second goes to each connected router. Each of 340 routers connects to 12 targets per model,
	// and a model has about 36 engines.
	return newPoint(size, cpuUsed, float64(len(load))*daemonCount*connectedTargets/engineCount, memory)
}

// measureQuotas returns the cost of quotas in a router with size accounts, each of which is served by 20 routers.
func measureQuotas(size int) Point {
	const (
		routers = 20
		// takesPerSecond is requestsPerDaemon, rounded up.
		takesPerSecond = 7
	)
	var names []ident.AccountID
	var demands []quota.Demand
	for i := range size {
		names = append(names, ident.AccountID(fmt.Sprintf("account%d", i)))
		for r := range routers {
			demands = append(demands, quota.Demand{
				Account: names[i], Router: ident.ProcessID(fmt.Sprintf("r%d", r+1)), Rate: 100,
			})
		}
	}
	before := liveHeapBytes()
	q := quota.New("r0")
	q.SetRouterCount(daemonCount)
	start := time.Unix(1_800_000_000, 0)
	for i := range size {
		q.SetLimit(start, names[i], quota.Limit{Rate: 10000, Burst: 100000})
	}
	cpuUsed := cpuTime(func() {
		callAtRate(1, func(i int, now time.Time) {
			for _, d := range demands {
				q.Merge(now, d)
			}
			for k := range takesPerSecond {
				_ = q.Take(now, names[(i+k)%size], 300)
			}
			q.AnnounceDemands(now)
		})
	})
	memory := liveHeapBytes() - before
	runtime.KeepAlive(q)
	return newPoint(size, cpuUsed, 0, memory) // demand is sent as gossip entries, whose bytes measureGossip counts
}
