package entry

import (
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
)

// metered records measurements with OpenTelemetry instruments.
type metered struct{ m *meter.Meter }

// Called implements Meter.
func (r metered) Called(m Measure) {
	if m.Queued > 0 {
		r.m.RecordQueueing(m.Tier, m.Account, m.Service, m.Queued)
	}
	if m.First > 0 {
		r.m.RecordFirstToken(m.Tier, m.Account, m.Service, m.First)
		r.m.RecordLength(m.Tier, m.Account, m.Service, m.Prompt+m.Output)
	}
	if m.Good {
		r.m.CountGoodput(m.Tier)
	}
	if m.Wasted > 0 {
		r.m.CountWastedPrefill(m.Wasted)
	}
	if m.Link > 0 {
		r.m.CountLinkBytes(m.Account, m.Link)
	}
	r.refused(m)
}

func (r metered) refused(m Measure) {
	switch reason := fault.Reason(m.Reason); reason {
	case "":
	case fault.Quota:
		r.m.CountOverQuota(m.Account)
		r.m.CountRefused(reason)
	case fault.Shed, fault.Deadline:
		r.m.CountShed(m.Tier, reason)
		r.m.CountRefused(reason)
	default:
		r.m.CountRefused(reason)
	}
}

// Gap implements Meter.
func (r metered) Gap(a ident.AccountID, s ident.Service, t ident.Tier, d time.Duration) {
	r.m.RecordTokenGap(t, a, s, d)
}

// names returns the accounts and services of a configuration.
func names(x *conf.Index) (accounts []ident.AccountID, services []ident.Service) {
	for _, a := range x.Config().Accounts {
		accounts = append(accounts, a.Name)
	}
	for _, s := range x.Config().Services {
		services = append(services, s.Name)
	}
	return accounts, services
}
