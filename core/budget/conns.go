package budget

const (
	// connCost is the memory of a connection in bytes: its goroutine, the buffers of net/http and headIncluded.
	connCost = 16<<10 + headIncluded
	// connShare is the share of the process's memory for connections of callers.
	connShare = 0.2
	// descriptorsDefault is the number of descriptors where the settings do not limit them.
	descriptorsDefault = 4096
	// fileReserve is the number of descriptors for files. The platform counts 200 as used by them.
	fileReserve = 200
	// callerShare is the share of the other descriptors for connections of callers. Each running request of a caller
	// needs a connection to a target as well; the rest is for these, other routers and the store.
	callerShare = 0.5
	// connsMin is the least number of connections of callers, however little the settings leave.
	connsMin = 16
)

// connsMax returns the number of connections of callers for which a process has memory and descriptors.
func connsMax(memory float64, descriptors int) int {
	if descriptors <= 0 {
		descriptors = descriptorsDefault
	}
	return max(connsMin, min(int(connShare*memory/connCost), int(callerShare*float64(descriptors-fileReserve))))
}

// ConnsMax returns the number of connections of callers that may be open.
func (m *Budget) ConnsMax() int { return m.connsMax }
