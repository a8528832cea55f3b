package conf

import (
	"time"

	"hickoryvane.example/core/ident"
)

// PeerAnswerTimeout is how long a started process waits for the configurations of the peers that it asked
// while the object API is unreachable. It covers four gossip rounds of 500 ms, so that the process does not
// start with the configuration of one lagging peer alone.
const PeerAnswerTimeout = 2 * time.Second

// OfferResult is the result of offering a configuration to a Holder.
type OfferResult uint8

// Results of OfferFromPeer and OfferFromStore.
const (
	// Accepted means that the configuration is now in force.
	Accepted OfferResult = iota + 1
	// Same means that this configuration is already in force.
	Same
	// Older means that a higher generation is in force.
	Older
	// Clash means that a different configuration with the same generation is in force and stays so.
	Clash
	// Invalid means that the configuration has faults or belongs to another deployment.
	Invalid
)

var verdictNames = [...]string{Accepted: "accepted", Same: "same", Older: "older", Clash: "clash", Invalid: "invalid"}

// String returns the name of r for logs.
func (r OfferResult) String() string {
	if int(r) < len(verdictNames) && r > 0 {
		return verdictNames[r]
	}
	return "unknown"
}

// Holder holds the configuration in force in one process. It accepts only a higher generation, so the
// configuration never reverts. It is a state machine without locks: one goroutine owns it, others use the
// Index that it returns.
type Holder struct {
	deployment string
	index      *Index
	// storeRead is true once the object API has returned a configuration in this run of the process.
	storeRead bool
	// storeUnreachable is true if the last call to the object API failed.
	storeUnreachable bool
	// unanswered holds the peers that were asked and have not answered.
	unanswered map[ident.ProcessID]bool
	// firstPeerConfigAt is when a peer first sent a valid configuration; zero before.
	firstPeerConfigAt time.Time
	ready             bool
}

// NewHolder returns an empty holder for a process of the deployment.
func NewHolder(deployment string) *Holder {
	return &Holder{deployment: deployment, unanswered: map[ident.ProcessID]bool{}}
}

// RecordAsked records that a peer was asked for its configuration.
func (h *Holder) RecordAsked(peer ident.ProcessID) {
	if !h.ready {
		h.unanswered[peer] = true
	}
}

// RecordNoAnswer records that a peer has no configuration or that the connection to it was lost.
func (h *Holder) RecordNoAnswer(now time.Time, peer ident.ProcessID) {
	delete(h.unanswered, peer)
	h.Tick(now)
}

// OfferFromPeer offers a configuration that a peer sent.
func (h *Holder) OfferFromPeer(now time.Time, peer ident.ProcessID, cfg Config) (res OfferResult, problems []Problem) {
	delete(h.unanswered, peer)
	res, problems = h.offer(cfg)
	if res != Invalid && h.firstPeerConfigAt.IsZero() {
		h.firstPeerConfigAt = now
	}
	h.Tick(now)
	return res, problems
}

// OfferFromStore offers a configuration that the object API returned.
func (h *Holder) OfferFromStore(now time.Time, cfg Config) (res OfferResult, problems []Problem) {
	h.storeUnreachable = false
	res, problems = h.offer(cfg)
	if res != Invalid {
		h.storeRead = true
	}
	h.Tick(now)
	return res, problems
}

// SetStoreUnreachable records that a call to the object API failed.
func (h *Holder) SetStoreUnreachable(now time.Time) {
	h.storeUnreachable = true
	h.Tick(now)
}

// SetStoreEmpty records that the object API answered that it holds no configuration.
func (h *Holder) SetStoreEmpty() { h.storeUnreachable = false }

// Tick checks whether the time to wait for peers is over; call it at least every 500 ms until Ready.
func (h *Holder) Tick(now time.Time) {
	if h.ready || h.index == nil {
		return
	}
	peersDone := len(h.unanswered) == 0 || now.Sub(h.firstPeerConfigAt) >= PeerAnswerTimeout
	h.ready = h.storeRead || (h.storeUnreachable && !h.firstPeerConfigAt.IsZero() && peersDone)
}

// Ready reports whether the process may serve as far as its configuration is concerned: it has one from the
// object API, or from its peers while the object API is unreachable. Once true, it stays true.
func (h *Holder) Ready() bool { return h.ready }

// Index returns the configuration in force; nil if there is none.
func (h *Holder) Index() *Index { return h.index }

// Generation returns the generation in force; zero if there is none.
func (h *Holder) Generation() ident.Generation {
	if h.index == nil {
		return 0
	}
	return h.index.Generation()
}

// offer puts cfg in force if it is valid and has a higher generation.
func (h *Holder) offer(cfg Config) (OfferResult, []Problem) {
	inForce := h.Generation()
	switch {
	case cfg.Generation == 0 || cfg.Deployment != h.deployment:
		return Invalid, []Problem{{Key: "deployment", Text: "the configuration was never accepted or belongs to deployment " + cfg.Deployment}}
	case cfg.Generation < inForce:
		return Older, nil
	case cfg.Generation == inForce && cfg.Attempt == h.index.cfg.Attempt:
		return Same, nil
	case cfg.Generation == inForce:
		return Clash, nil
	}
	if problems := Check(cfg); len(problems) > 0 {
		return Invalid, problems
	}
	h.index = NewIndex(cfg)
	return Accepted, nil
}
