package conf

import (
	"time"

	"hickoryvane.example/core/ident"
)

// SettleTime is how long a started process waits for the configurations of the peers that it asked while the
// object API is out. It covers four gossip rounds of 500 ms, so that one lagging peer does not decide alone.
const PeerAnswerTimeout = 2 * time.Second

// Verdict is the outcome of offering a configuration to a Force.
type Verdict uint8

// Verdicts.
const (
	// Accepted means that the configuration is in force now.
	Accepted Verdict = iota + 1
	// Same means that this configuration is in force already.
	Same
	// Older means that a higher generation is in force.
	Older
	// Clash means that another configuration with the same generation is in force; the first one stays.
	Clash
	// Invalid means that the configuration has faults or belongs to another deployment.
	Invalid
)

var verdictNames = [...]string{Accepted: "accepted", Same: "same", Older: "older", Clash: "clash", Invalid: "invalid"}

// String returns the name of v for logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) && v > 0 {
		return verdictNames[v]
	}
	return "unknown"
}

// Force holds the configuration in force in one process. It accepts only a higher generation, so a
// configuration never reverts. It is a state machine without locks: one goroutine owns it, others use the
// Index that it returns.
type Holder struct {
	deployment string
	index      *Index
	// heard is true once the object API gave a configuration in this run of the process.
	storeRead bool
	// out is true while the last call of the object API failed.
	storeUnreachable bool
	// asked holds the peers whose answer is outstanding.
	unanswered map[ident.ProcessID]bool
	// since is when the first configuration came from a peer; zero before.
	firstPeerConfigAt time.Time
	ready             bool
}

// NewForce returns an empty holder for a process of the deployment.
func NewHolder(deployment string) *Holder {
	return &Holder{deployment: deployment, unanswered: map[ident.ProcessID]bool{}}
}

// Ask notes that a peer was asked for its configuration.
func (f *Holder) RecordAsked(peer ident.ProcessID) {
	if !f.ready {
		f.unanswered[peer] = true
	}
}

// Unanswered notes that a peer has no configuration or was lost.
func (f *Holder) RecordNoAnswer(now time.Time, peer ident.ProcessID) {
	delete(f.unanswered, peer)
	f.Tick(now)
}

// FromPeer offers a configuration that a peer sent.
func (f *Holder) OfferFromPeer(now time.Time, peer ident.ProcessID, cfg Config) (v Verdict, problems []Problem) {
	delete(f.unanswered, peer)
	v, problems = f.offer(cfg)
	if v != Invalid && f.firstPeerConfigAt.IsZero() {
		f.firstPeerConfigAt = now
	}
	f.Tick(now)
	return v, problems
}

// FromStore offers a configuration that the object API returned.
func (f *Holder) OfferFromStore(now time.Time, cfg Config) (v Verdict, problems []Problem) {
	f.storeUnreachable = false
	v, problems = f.offer(cfg)
	if v != Invalid {
		f.storeRead = true
	}
	f.Tick(now)
	return v, problems
}

// StoreOut notes that a call of the object API failed.
func (f *Holder) SetStoreUnreachable(now time.Time) {
	f.storeUnreachable = true
	f.Tick(now)
}

// StoreEmpty notes that the object API answered that it holds no configuration.
func (f *Holder) SetStoreEmpty() { f.storeUnreachable = false }

// Tick notes that time has passed; call it at least every 500 ms until Ready.
func (f *Holder) Tick(now time.Time) {
	if f.ready || f.index == nil {
		return
	}
	settled := len(f.unanswered) == 0 || now.Sub(f.firstPeerConfigAt) >= PeerAnswerTimeout
	f.ready = f.storeRead || (f.storeUnreachable && !f.firstPeerConfigAt.IsZero() && settled)
}

// Ready reports whether the process may serve as far as its configuration is concerned: it has one from the
// object API, or from its peers while the object API is out. Once ready, it stays ready.
func (f *Holder) Ready() bool { return f.ready }

// Index returns the configuration in force; nil if there is none.
func (f *Holder) Index() *Index { return f.index }

// Generation returns the generation in force; zero if there is none.
func (f *Holder) Generation() ident.Generation {
	if f.index == nil {
		return 0
	}
	return f.index.Generation()
}

func (f *Holder) offer(cfg Config) (Verdict, []Problem) {
	have := f.Generation()
	switch {
	case cfg.Generation == 0 || cfg.Deployment != f.deployment:
		return Invalid, []Problem{{Key: "deployment", Text: "the configuration was never accepted or belongs to deployment " + cfg.Deployment}}
	case cfg.Generation < have:
		return Older, nil
	case cfg.Generation == have && cfg.Attempt == f.index.cfg.Attempt:
		return Same, nil
	case cfg.Generation == have:
		return Clash, nil
	}
	if problems := Check(cfg); len(problems) > 0 {
		return Invalid, problems
	}
	f.index = NewIndex(cfg)
	return Accepted, nil
}
