package queue

import (
	"hickoryvane.example/core/ident"
)

const (
	// lagMax bounds, in tokens per weight, what an account can catch up after it waited behind higher
	// tiers; without it the account would hold its tier until it had received as much as the others.
	catchUpMax = 1 << 16
	// sharesMax is the number of accounts from which idle ones are forgotten.
	accountsMax = 1024
)

// fair counts the service that accounts received, in tokens divided by weight.
type fairShares struct {
	shares map[ident.AccountID]*share
	// clock is the highest service at which a request was granted. An account that was idle starts
	// there, so that it cannot save up service.
	virtualTime float64
}

type share struct {
	served float64
	// active counts waiting and running requests.
	active int
}

func newFairShares() fairShares { return fairShares{shares: map[ident.AccountID]*share{}} }

// enter counts a request of the account.
func (f *fairShares) addRequest(a ident.AccountID) {
	s := f.shares[a]
	if s == nil {
		f.trim()
		s = &share{}
		f.shares[a] = s
	}
	if s.active == 0 {
		s.served = max(s.served, f.virtualTime)
	}
	s.active++
}

// leave ends the count of a request.
func (f *fairShares) removeRequest(a ident.AccountID) {
	if s := f.shares[a]; s != nil && s.active > 0 {
		s.active--
	}
}

// served returns the service by which accounts are ordered.
func (f *fairShares) served(a ident.AccountID) float64 {
	s := f.shares[a]
	if s == nil {
		return f.virtualTime
	}
	return max(s.served, f.virtualTime-catchUpMax)
}

// grant charges n tokens at the start of a request.
func (f *fairShares) grant(a ident.AccountID, n ident.Tokens, weight int) {
	s := f.shares[a]
	if s == nil {
		return
	}
	s.served = f.served(a)
	f.virtualTime = max(f.virtualTime, s.served)
	f.charge(a, n, weight)
}

// charge corrects the service by n tokens, which may be negative.
func (f *fairShares) charge(a ident.AccountID, n ident.Tokens, weight int) {
	if s := f.shares[a]; s != nil {
		s.served += float64(n) / float64(max(weight, 1))
	}
}

// trim forgets idle accounts when many are held. Those that are ahead of the clock lose their lead.
func (f *fairShares) trim() {
	if len(f.shares) < accountsMax {
		return
	}
	for a, s := range f.shares {
		if s.active == 0 {
			delete(f.shares, a)
		}
	}
}
