package slope

// Sizes in two years (design, section 1.4).
const (
	daemons  = 340
	engines  = 640
	accounts = 540
	models   = 18
	// requests is the peak in requests per second.
	requests = 2100
	// region is the number of processes of one of two regions: daemons and agents.
	region = (daemons + engines) / 2
	// pools is the number of targets to which a router connects: at most 12 of each model.
	pools = 12 * models
)

// Probes lists the measured machines.
func Probes() []Probe {
	return []Probe{
		{
			Name: "facts", Roles: []string{"router", "agent"}, Unit: "processes of the region", Rate: "one 64-byte fact per process and second",
			Sizes: []int{50, 100, 200}, Target: region, Measure: gossip,
		},
		{
			Name: "pick", Roles: []string{"router"}, Unit: "connected targets", Rate: "6.2 requests/s, one load report per target and second",
			Sizes: []int{24, 72, pools}, Target: pools, Measure: picking,
		},
		{
			Name: "queue", Roles: []string{"agent"}, Unit: "waiting offers", Rate: "6.6 offers/s, Lapse 10 times/s",
			Sizes: []int{64, 128, 256, 512}, Target: 512, Measure: queueing,
		},
		{
			Name: "quota", Roles: []string{"router"}, Unit: "accounts", Rate: "6.2 requests/s, demand of 20 routers per account and second",
			Sizes: []int{60, 180, accounts}, Target: accounts, Measure: quotas,
		},
	}
}
