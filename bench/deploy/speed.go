package deploy

import "hickoryvane.example/core/ident"

// speed is the speed of the stand-in engines of a hardware class.
type speed struct {
	// decodeTokensPerSecond applies to a request that is alone in its batch.
	prefillTokensPerSecond, decodeTokensPerSecond int
}

// speeds have the ratios of the hardware classes of the examples. They are about ten times those of real engines,
// so that a session of the demo takes seconds.
var speeds = map[ident.Class]speed{
	"h2": {120000, 600},
	"h1": {80000, 400},
	"l4": {30000, 150},
	"a2": {20000, 100},
}

// defaultSpeed applies to classes that the examples do not declare.
var defaultSpeed = speed{40000, 200}

func speedOf(c ident.Class) speed {
	if s, ok := speeds[c]; ok {
		return s
	}
	return defaultSpeed
}
