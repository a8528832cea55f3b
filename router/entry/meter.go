package entry

import (
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
)

// metered records measurements with OpenTelemetry instruments.
type otelMeter struct{ m *meter.Meter }

// Called implements Meter.
func (r otelMeter) RecordCall(m CallStats) {
	if m.QueueTime > 0 {
		r.m.Queueing(m.Tier, m.Account, m.Service, m.QueueTime)
	}
	if m.TimeToFirstByte > 0 {
		r.m.FirstToken(m.Tier, m.Account, m.Service, m.TimeToFirstByte)
		r.m.Length(m.Tier, m.Account, m.Service, m.Prompt+m.Output)
	}
	if m.Goodput {
		r.m.Goodput(m.Tier)
	}
	if m.WastedPrompt > 0 {
		r.m.Wasted(m.WastedPrompt)
	}
	if m.LinkBytes > 0 {
		r.m.Link(m.Account, m.LinkBytes)
	}
	r.recordRefusal(m)
}

func (r otelMeter) recordRefusal(m CallStats) {
	switch reason := fault.Reason(m.Reason); reason {
	case "":
	case fault.Quota:
		r.m.Quota(m.Account)
		r.m.Refused(reason)
	case fault.Shed, fault.Deadline:
		r.m.Shed(m.Tier, reason)
		r.m.Refused(reason)
	default:
		r.m.Refused(reason)
	}
}

// Gap implements Meter.
func (r otelMeter) RecordTokenGap(a ident.AccountID, s ident.Service, t ident.Tier, d time.Duration) {
	r.m.TokenGap(t, a, s, d)
}

// names returns the accounts and services of a configuration.
func accountsAndServices(x *conf.Index) (accounts []ident.AccountID, services []ident.Service) {
	for _, a := range x.Config().Accounts {
		accounts = append(accounts, a.Name)
	}
	for _, s := range x.Config().Services {
		services = append(services, s.Name)
	}
	return accounts, services
}
