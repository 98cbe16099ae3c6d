package slopes

import "github.com/pkg/errors"

// RoleSlopes is what one role spends per unit of what it serves.
type RoleSlopes struct {
	// BaseCPU and LinkCPU are seconds of processor time a second, of the idle
	// process and of one idle link.
	BaseCPU float64 `json:"baseCpu"`
	LinkCPU float64 `json:"linkCpu"`
	// TokenCPU and RequestCPU are seconds for one relayed token and one request.
	TokenCPU   float64 `json:"tokenCpu"`
	RequestCPU float64 `json:"requestCpu"`
	// BaseMemory, LinkMemory and StreamMemory are bytes.
	BaseMemory   float64 `json:"baseMemory"`
	LinkMemory   float64 `json:"linkMemory"`
	StreamMemory float64 `json:"streamMemory"`
	// IdleLinkBytes and BusyLinkBytes are control bytes a second on one link.
	IdleLinkBytes float64 `json:"idleLinkBytes"`
	BusyLinkBytes float64 `json:"busyLinkBytes"`
	// StoreReads and StoreWrites are calls a second of one process.
	StoreReads  float64 `json:"storeReads"`
	StoreWrites float64 `json:"storeWrites"`
}

// Slopes holds the slopes of both roles, and of the control goroutine of an entry.
type Slopes struct {
	Entry RoleSlopes `json:"entry"`
	Agent RoleSlopes `json:"agent"`
	// ControlBase is the busy share of the idle control goroutine, ControlLink that
	// of one link, ControlToken and ControlRequest seconds for a token and a request.
	ControlBase    float64 `json:"controlBase"`
	ControlLink    float64 `json:"controlLink"`
	ControlToken   float64 `json:"controlToken"`
	ControlRequest float64 `json:"controlRequest"`
}

// pick is one figure of a sample.
type pick func(Usage) float64

func cpu(u Usage) float64     { return u.CPUSeconds }
func memory(u Usage) float64  { return u.ResidentBytes }
func busy(u Usage) float64    { return u.ControlSeconds }
func control(u Usage) float64 { return u.ControlBytes }

// phaseSet holds the samples of one fleet by phase.
type phaseSet struct{ idle, light, heavy, short Sample }

func byPhase(samples []Sample) (phaseSet, error) {
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

// Fit works out the slopes from the samples of a small and a large fleet with one
// entry each.
func Fit(small, large []Sample) (Slopes, error) {
	s, err := byPhase(small)
	if err != nil {
		return Slopes{}, err
	}
	l, err := byPhase(large)
	if err != nil {
		return Slopes{}, err
	}
	if l.idle.Engines <= s.idle.Engines || l.heavy.Tokens <= l.light.Tokens || l.short.Requests <= 0 {
		return Slopes{}, errors.New("the samples do not span a slope: the large fleet must have more engines and carry load")
	}
	entry := func(sample Sample) Usage { return sample.Entry }
	agent := func(sample Sample) Usage { return sample.Agent }
	slopes := Slopes{Entry: fitRole(s, l, entry, 1), Agent: fitRole(s, l, agent, float64(l.idle.Engines))}
	slopes.ControlLink, slopes.ControlBase = line(s.idle.Entry.Links, busy(s.idle.Entry), l.idle.Entry.Links, busy(l.idle.Entry))
	slopes.ControlToken, slopes.ControlRequest = loadSlopes(l, entry, busy, 1)
	return slopes, nil
}

// line returns the slope and the intercept of the line through two points.
func line(x1, y1, x2, y2 float64) (slope, intercept float64) {
	if x1 == x2 {
		return 0, y1
	}
	slope = (y2 - y1) / (x2 - x1)
	return slope, y1 - slope*x1
}

// fitRole fits one role. Share is over how many processes of the role the load of
// the large fleet is spread.
func fitRole(s, l phaseSet, of func(Sample) Usage, share float64) RoleSlopes {
	var r RoleSlopes
	r.LinkCPU, r.BaseCPU = line(of(s.idle).Links, cpu(of(s.idle)), of(l.idle).Links, cpu(of(l.idle)))
	r.LinkMemory, r.BaseMemory = line(of(s.idle).Links, memory(of(s.idle)), of(l.idle).Links, memory(of(l.idle)))
	r.TokenCPU, r.RequestCPU = loadSlopes(l, of, cpu, share)
	streams := float64(l.heavy.Streams-l.light.Streams) / share
	r.StreamMemory = max(0, memory(of(l.heavy))-memory(of(l.light))) / streams
	r.IdleLinkBytes = control(of(l.idle)) / max(1, of(l.idle).Links)
	r.BusyLinkBytes = control(of(l.heavy)) / max(1, of(l.heavy).Links)
	r.StoreReads = of(l.idle).StoreReads
	r.StoreWrites = of(l.idle).StoreWrites
	return r
}

// loadSlopes returns what one token and one request take: the token from two
// loads of long answers, the request from short answers less their tokens.
func loadSlopes(l phaseSet, of func(Sample) Usage, figure pick, share float64) (token, request float64) {
	token = (figure(of(l.heavy)) - figure(of(l.light))) / (l.heavy.Tokens - l.light.Tokens) * share
	rest := figure(of(l.short)) - figure(of(l.idle)) - token*l.short.Tokens/share
	return token, max(0, rest/l.short.Requests*share)
}
