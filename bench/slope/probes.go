package slope

// Sizes in two years (design, section 1.4).
const (
	daemonCount  = 340
	engineCount  = 640
	accountCount = 540
	modelCount   = 18
	// requests is the peak in requests per second.
	requestsPerSecond = 2100
	// region is the number of processes of one of two regions: daemons and agents.
	processesPerRegion = (daemonCount + engineCount) / 2
	// pools is the number of targets to which a router connects: at most 12 of each model.
	connectedTargets = 12 * modelCount
)

// Probes lists the measured machines.
func Probes() []Probe {
	return []Probe{
		{
			Name: "facts", Roles: []string{"router", "agent"}, SizeUnit: "processes of the region", AssumedLoad: "one 64-byte fact per process and second",
			Sizes: []int{50, 100, 200}, ProjectedSize: processesPerRegion, Measure: measureGossip,
		},
		{
			Name: "pick", Roles: []string{"router"}, SizeUnit: "connected targets", AssumedLoad: "6.2 requests/s, one load report per target and second",
			Sizes: []int{24, 72, connectedTargets}, ProjectedSize: connectedTargets, Measure: measurePicking,
		},
		{
			Name: "queue", Roles: []string{"agent"}, SizeUnit: "waiting offers", AssumedLoad: "6.6 offers/s, Lapse 10 times/s",
			Sizes: []int{64, 128, 256, 512}, ProjectedSize: 512, Measure: measureQueue,
		},
		{
			Name: "quota", Roles: []string{"router"}, SizeUnit: "accounts", AssumedLoad: "6.2 requests/s, demand of 20 routers per account and second",
			Sizes: []int{60, 180, accountCount}, ProjectedSize: accountCount, Measure: measureQuotas,
		},
	}
}
