package direct

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/admin"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/group"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/retry"
	"hickoryvane.example/router/follow"
	"hickoryvane.example/router/relay"
)

const (
	// headerTimeout limits the time in which the headers of a request are read where the configuration does not;
	// headerMargin is added to its limit, so that a caller which keeps to it is not refused. headerMax limits their size
	// in bytes; it is above the limits that configurations set.
	headerTimeout = 10 * time.Second
	headerMargin  = time.Second
	headerMax     = 1 << 20
	// rotationTime is the time after the start of a shutdown within which the load balancer stops sending new
	// connections: two failed probes, one second apart, and some delay.
	rotationTime = 2500 * time.Millisecond
	// probeInterval is the interval between two readiness probes of the load balancer, with some delay.
	probeInterval = 1200 * time.Millisecond
	// takeoverCheckInterval is the interval at which a router that shuts down checks whether another one is
	// ready for callers.
	takeoverCheckInterval = 100 * time.Millisecond
	// closeMargin is the time before the end of a shutdown from which no request is accepted.
	closeMargin = time.Second
	// exitMargin is the time before the end of the grace period at which the remaining requests are ended.
	exitMargin = 400 * time.Millisecond
	// lastAnswersTime is the time for the answers to these.
	lastAnswersTime = 150 * time.Millisecond
	// retryBudgetFraction is the fraction of the retry budget that is used; the rest covers callers that
	// themselves send a request to a target twice.
	retryBudgetFraction = 0.8
	// minRetryPeriod is the shortest period over which retries are counted.
	minRetryPeriod = time.Second
)

// Run serves until stop ends, then shuts down gracefully. It returns errors of listening and of workers.
func (r *Router) Run(stop context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "run router") }()
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	g := group.New()
	if r.asyncWriter != nil {
		wctx, stopWriter := context.WithCancel(context.WithoutCancel(stop))
		defer func() {
			r.log.Log(event.Stopped, "error", err)
			stopWriter()
			_ = g.Wait() // the results of the other workers were read before
		}()
		g.Go(wctx, "log", r.asyncWriter.Run)
	}
	r.log.Log(event.Started, "name", r.cfg.Name, "boot", r.boot, "listen", r.cfg.Listen, "centre", r.cfg.Centre, "store", r.cfg.Store)
	work := group.New()
	if err = r.serveAdmin(ctx, work); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", r.cfg.Listen)
	if err != nil {
		return err
	}
	work.Go(ctx, "callers", func(context.Context) error { return r.callers.Serve(ln) })
	r.startWorkers(ctx, work)
	select {
	case <-stop.Done():
		r.shutdown(ctx)
	case e := <-work.Exits():
		work.CountExit()
		err = errors.WithMessage(e.Err, e.Name)
	}
	cancel()
	_ = r.callers.Close() // the grace period is over
	if werr := work.Wait(); err == nil {
		err = werr
	}
	return err
}

// serveAdmin serves the readiness probe, the metrics and the snapshots.
func (r *Router) serveAdmin(ctx context.Context, g *group.Group) error {
	probe := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.meter.Handler())
	mux.Handle("GET "+relay.Path, relay.NewServer(r.snapshot))
	mux.HandleFunc("GET "+statusPath, r.serveStatus)
	for addr, h := range map[string]http.Handler{r.cfg.Ready: probe, r.cfg.Admin: mux} {
		ln, err := admin.Listen(addr)
		if err != nil {
			return err
		}
		g.Go(ctx, "serve "+addr, func(ctx context.Context) error { return admin.Serve(ctx, ln, h, accept.WithBudget(r.memory)) })
	}
	return nil
}

// startWorkers starts the goroutines that follow the store and the other routers.
func (r *Router) startWorkers(ctx context.Context, g *group.Group) {
	for _, f := range []follow.Handler{r.configHandler(), r.targetHandler(), r.routerHandler(), r.rolloutHandler(), r.evacuationHandler()} {
		g.Go(ctx, "follow "+f.Kind, func(ctx context.Context) error { return r.follower.Follow(ctx, f) })
	}
	g.Go(ctx, "beacons", r.runHeartbeats)
	g.Go(ctx, "blocks", r.blocks.Run)
	for range verifyWorkers {
		g.Go(ctx, "verify", r.verifyTargets)
	}
	g.Go(ctx, "tick", r.tick)
	g.Go(ctx, "relay", r.relaySnapshots)
	g.Go(ctx, "moves", r.writeStates)
	g.Go(ctx, "orders", r.relistRollouts)
	g.Go(ctx, "register", func(ctx context.Context) error {
		_ = r.register(ctx)
		<-ctx.Done()
		return nil
	})
}

// shutdown lets running requests end. New requests are accepted until the load balancer sends none any more, and
// after that as long as no other router is ready; those are placed only if they end in time.
func (r *Router) shutdown(ctx context.Context) {
	r.mu.Lock()
	grace := conf.Seconds(r.cfg.GraceSeconds)
	r.mu.Unlock()
	end := time.Now().Add(grace - exitMargin)
	r.shutdownDeadline.Store(&end)
	r.stopping.Store(true)
	r.log.Log(event.Stopping, "running", r.activeRequests.Load(), "grace", grace)
	follow.Pause(ctx, min(rotationTime, grace/2))
	r.stopPlacing(end)
	for time.Until(end) > closeMargin && !r.otherRouterReady(time.Now()) {
		follow.Pause(ctx, takeoverCheckInterval)
	}
	r.closing.Store(true)
	sctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := r.callers.Shutdown(sctx); err != nil {
		r.log.Log(event.AnswerTruncated, "running", r.activeRequests.Load(), "error", err)
		r.endRequests()
		actx, cancel := context.WithTimeout(ctx, lastAnswersTime)
		defer cancel()
		if err = r.callers.Shutdown(actx); err != nil {
			r.log.Log(event.AnswerTruncated, "running", r.activeRequests.Load(), "error", err)
		}
	}
}

// otherRouterReady reports whether another router has been ready for long enough that the load balancer knows it.
func (r *Router) otherRouterReady(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if !p.readySince.IsZero() && now.Sub(p.readySince) >= probeInterval && now.Sub(p.lastSeen) < r.peerTimeout(p) {
			return true
		}
	}
	return false
}

// stopPlacing makes the pools place only requests that end before the end of the shutdown.
func (r *Router) stopPlacing(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopAt = end
	for _, p := range r.pools {
		p.StopAt(end)
	}
}

// Reload applies the limits of changed settings. Addresses and names stay until the next start.
func (r *Router) Reload(cfg conf.Direct) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.GraceSeconds, r.cfg.RetryRatio, r.cfg.ExtraRetries, r.cfg.RetryPeriodSeconds = cfg.GraceSeconds, cfg.RetryRatio, cfg.ExtraRetries, cfg.RetryPeriodSeconds
	for _, b := range r.retryBudgets {
		b.SetLimits(time.Now(), r.retryLimits()...)
	}
	r.log.Log(event.SettingsReloaded, "grace", conf.Seconds(cfg.GraceSeconds), "ratio", cfg.RetryRatio, "spare", cfg.ExtraRetries, "span", conf.Seconds(cfg.RetryPeriodSeconds))
}

// countRequest counts a request for the retry budget.
func (r *Router) countRequest(s ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(s).RecordRequest(time.Now())
}

// allowRetry reports whether the retry budget allows to send a request again, and charges the retry to it.
func (r *Router) allowRetry(now time.Time, s ident.Service) bool {
	return r.reserveRetries(now, s, 1)
}

// reserveRetries reports whether the retry budget has room for n retries, and charges them to it.
func (r *Router) reserveRetries(now time.Time, s ident.Service, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.retryBudget(s)
	b.SetExtraRetries(retryBudgetFraction * r.cfg.ExtraRetries / float64(r.routerCount(now)))
	return b.Reserve(now, n)
}

// returnRetries gives back retries that were reserved and not used.
func (r *Router) returnRetries(s ident.Service, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(s).Return(time.Now(), n)
}

// retryBudget returns the retry budget of a service and creates it if needed; r.mu is held.
func (r *Router) retryBudget(s ident.Service) *retry.Budget {
	b, ok := r.retryBudgets[s]
	if !ok {
		b = retry.New(r.rnd, r.retryLimits()...)
		r.retryBudgets[s] = b
	}
	return b
}

// retryLimits returns the limits of the settings; r.mu is held.
func (r *Router) retryLimits() []retry.Option {
	return []retry.Option{retry.WithRetryRatio(retryBudgetFraction * r.cfg.RetryRatio), retry.WithPeriod(max(conf.Seconds(r.cfg.RetryPeriodSeconds), minRetryPeriod))}
}

// logPlacement logs the inputs of a placement and counts it in the metrics.
func (r *Router) logPlacement(c *call, d decision, try int) {
	now, gain := time.Now(), d.placement.Prefix
	r.meter.CountPrefix(c.service, gain.Held, gain.Moved, gain.Wait)
	r.meter.RecordQueueing(c.job.Tier, c.accountName(), c.service, now.Sub(c.arrived))
	r.meter.RecordLength(c.job.Tier, c.accountName(), c.service, c.Prompt+c.MaxOutput)
	r.log.Log(event.RequestPlaced, "id", c.ID, "route", c.route.Name, "account", c.accountName(), "tier", c.job.Tier,
		"target", d.target.ID, "mine", d.placement.OwnJobs, "others", d.placement.OtherJobs, "expected", d.placement.ExpectedFirstEvent.Milliseconds(),
		"waited", now.Sub(c.arrived).Milliseconds(), "prompt", c.Prompt, "tokens", c.tokens, "level", c.quotaLevel, "left", c.deadline.Sub(now).Milliseconds(), "try", try, "parts", c.Parts, "held", gain.Held, "moved", gain.Moved, "later", gain.Wait.Milliseconds())
}
