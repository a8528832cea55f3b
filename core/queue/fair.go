package queue

import (
	"hickoryvane.example/core/ident"
)

const (
	// catchUpMax bounds, in tokens per unit of weight, the service that an account can catch up after it waited
	// behind higher tiers; without it the account would occupy its tier until it had received as much as the
	// others.
	catchUpMax = 1 << 16
	// accountsMax is the number of accounts from which idle ones are removed.
	accountsMax = 1024
)

// fairShares accounts for the service that accounts received, in tokens divided by weight.
type fairShares struct {
	shares map[ident.AccountID]*share
	// virtualTime is the highest service at which a request was granted. An account that was idle starts there,
	// so that it cannot accumulate credit.
	virtualTime float64
}

// share is the service that one account received, in tokens per unit of weight.
type share struct {
	served float64
	// active counts waiting and running requests.
	active int
}

func newFairShares() fairShares { return fairShares{shares: map[ident.AccountID]*share{}} }

// addRequest counts a request of the account.
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

// removeRequest removes a request from the count of the account.
func (f *fairShares) removeRequest(a ident.AccountID) {
	if s := f.shares[a]; s != nil && s.active > 0 {
		s.active--
	}
}

// served returns the service by which accounts are ordered, the least first.
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

// charge adjusts the service by n tokens, which may be negative.
func (f *fairShares) charge(a ident.AccountID, n ident.Tokens, weight int) {
	if s := f.shares[a]; s != nil {
		s.served += float64(n) / float64(max(weight, 1))
	}
}

// trim removes idle accounts when there are many. A removed account starts at the virtual time again, so one that
// was ahead of it is no longer held back for what it received.
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
