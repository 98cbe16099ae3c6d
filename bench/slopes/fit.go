package slopes

import "github.com/pkg/errors"

// RoleSlopes holds the base and marginal costs of one role.
type RoleSlopes struct {
	// BaseCPU and LinkCPU are CPU seconds per second, of the idle process and of one
	// idle link.
	BaseCPU float64 `json:"baseCpu"`
	LinkCPU float64 `json:"linkCpu"`
	// TokenCPU and RequestCPU are CPU seconds per relayed token and per request.
	TokenCPU   float64 `json:"tokenCpu"`
	RequestCPU float64 `json:"requestCpu"`
	// BaseMemory, LinkMemory and StreamMemory are bytes: of the idle process, per link
	// and per stream.
	BaseMemory   float64 `json:"baseMemory"`
	LinkMemory   float64 `json:"linkMemory"`
	StreamMemory float64 `json:"streamMemory"`
	// IdleLinkBytes and BusyLinkBytes are control bytes per second on one link.
	IdleLinkBytes float64 `json:"idleLinkBytes"`
	BusyLinkBytes float64 `json:"busyLinkBytes"`
	// StoreReads and StoreWrites are calls to the store per second and process.
	StoreReads  float64 `json:"storeReads"`
	StoreWrites float64 `json:"storeWrites"`
}

// Slopes holds the slopes of both roles, and of the control goroutine of an entry.
type Slopes struct {
	Entry RoleSlopes `json:"entry"`
	Agent RoleSlopes `json:"agent"`
	// ControlBase and ControlLink are busy seconds per second of the control goroutine,
	// without load and per link. ControlToken and ControlRequest are busy seconds per
	// token and per request.
	ControlBase    float64 `json:"controlBase"`
	ControlLink    float64 `json:"controlLink"`
	ControlToken   float64 `json:"controlToken"`
	ControlRequest float64 `json:"controlRequest"`
}

// metric extracts one value from a usage.
type metric func(Usage) float64

func cpuSeconds(u Usage) float64     { return u.CPUSeconds }
func residentBytes(u Usage) float64  { return u.ResidentBytes }
func controlSeconds(u Usage) float64 { return u.ControlSeconds }
func controlBytes(u Usage) float64   { return u.ControlBytes }

// phaseSet holds the samples of one fleet for each phase.
type phaseSet struct{ idle, light, heavy, short Sample }

func groupByPhase(samples []Sample) (phaseSet, error) {
	found := map[string]Sample{}
	for _, sample := range samples {
		found[sample.Phase] = sample
	}
	set := phaseSet{found[PhaseIdle], found[PhaseLight], found[PhaseHeavy], found[PhaseShort]}
	if len(found) != len(phases()) {
		return set, errors.New("a phase is missing in the samples")
	}
	return set, nil
}

// Fit computes the slopes from the samples of a small and a large fleet, each with one
// entry.
func Fit(small, large []Sample) (Slopes, error) {
	s, err := groupByPhase(small)
	if err != nil {
		return Slopes{}, err
	}
	l, err := groupByPhase(large)
	if err != nil {
		return Slopes{}, err
	}
	if l.idle.Engines <= s.idle.Engines || l.heavy.Tokens <= l.light.Tokens || l.short.Requests <= 0 {
		return Slopes{}, errors.New("the samples do not span a slope: the large fleet must have more engines and carry load")
	}
	entry := func(sample Sample) Usage { return sample.Entry }
	agent := func(sample Sample) Usage { return sample.Agent }
	slopes := Slopes{Entry: fitRole(s, l, entry, 1), Agent: fitRole(s, l, agent, float64(l.idle.Engines))}
	slopes.ControlLink, slopes.ControlBase = fitLine(s.idle.Entry.Links, controlSeconds(s.idle.Entry), l.idle.Entry.Links, controlSeconds(l.idle.Entry))
	slopes.ControlToken, slopes.ControlRequest = loadSlopes(l, entry, controlSeconds, 1)
	return slopes, nil
}

// fitLine returns the slope and the intercept of the line through two points.
func fitLine(x1, y1, x2, y2 float64) (slope, intercept float64) {
	if x1 == x2 {
		return 0, y1
	}
	slope = (y2 - y1) / (x2 - x1)
	return slope, y1 - slope*x1
}

// fitRole computes the slopes of one role. processes is the number of processes of the
// role over which the load of the large fleet is spread.
func fitRole(s, l phaseSet, usage func(Sample) Usage, processes float64) RoleSlopes {
	var r RoleSlopes
	r.LinkCPU, r.BaseCPU = fitLine(usage(s.idle).Links, cpuSeconds(usage(s.idle)), usage(l.idle).Links, cpuSeconds(usage(l.idle)))
	r.LinkMemory, r.BaseMemory = fitLine(usage(s.idle).Links, residentBytes(usage(s.idle)), usage(l.idle).Links, residentBytes(usage(l.idle)))
	r.TokenCPU, r.RequestCPU = loadSlopes(l, usage, cpuSeconds, processes)
	streams := float64(l.heavy.Streams-l.light.Streams) / processes
	r.StreamMemory = max(0, residentBytes(usage(l.heavy))-residentBytes(usage(l.light))) / streams
	r.IdleLinkBytes = controlBytes(usage(l.idle)) / max(1, usage(l.idle).Links)
	r.BusyLinkBytes = controlBytes(usage(l.heavy)) / max(1, usage(l.heavy).Links)
	r.StoreReads = usage(l.idle).StoreReads
	r.StoreWrites = usage(l.idle).StoreWrites
	return r
}

// loadSlopes returns the cost of one token and of one request. The cost of a token is
// computed from two loads with long responses, that of a request from a load with short
// responses minus the cost of their tokens.
func loadSlopes(l phaseSet, usage func(Sample) Usage, value metric, processes float64) (token, request float64) {
	token = (value(usage(l.heavy)) - value(usage(l.light))) / (l.heavy.Tokens - l.light.Tokens) * processes
	requestTotal := value(usage(l.short)) - value(usage(l.idle)) - token*l.short.Tokens/processes
	return token, max(0, requestTotal/l.short.Requests*processes)
}
