package deploy

import "hickoryvane.example/core/ident"

// speed is the speed of the stand-in engines of a hardware class.
type speed struct {
	// prefill is in tokens/s, decode in tokens/s of one request alone.
	prefillTokensPerSecond, decodeTokensPerSecond int
}

// speeds are in the proportions of the examples. They are about ten times those of real engines, so that a
// session of the demo takes seconds.
var speeds = map[ident.Class]speed{
	"h2": {120000, 600},
	"h1": {80000, 400},
	"l4": {30000, 150},
	"a2": {20000, 100},
}

// usual is the speed of classes that the examples do not have.
var defaultSpeed = speed{40000, 200}

func speedOf(c ident.Class) speed {
	if s, ok := speeds[c]; ok {
		return s
	}
	return defaultSpeed
}
