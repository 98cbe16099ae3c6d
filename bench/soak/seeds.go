package soak

// KeptSeed is a seed that failed once.
type KeptSeed struct {
	Seed  uint64
	Cause string
}

// KeptSeeds lists every seed that ever failed, with its cause.
var KeptSeeds = []KeptSeed{
	{202, "callers that leave early by themselves were counted as not served after the faults"},
}
