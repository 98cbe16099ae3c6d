package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Request is one request of the plan.
type Request struct {
	// At is the planned time of sending after the start of the load.
	At        time.Duration
	Workspace Workspace
	Prompt    string
	MaxTokens int
	// Noisy marks requests of the noisy workspace.
	Noisy bool
}

// Mean returns the mean length.
func (l Lengths) Mean() float64 {
	logNormalFactor := math.Exp(l.Spread * l.Spread / 2)
	mean := (1-l.LongShare)*float64(l.Median) + l.LongShare*float64(l.Long)
	return min(mean*logNormalFactor, float64(l.Max))
}

// draw returns a random length from the distribution.
func (l Lengths) draw(random *rand.Rand) int {
	median := float64(l.Median)
	if random.Float64() < l.LongShare {
		median = float64(l.Long)
	}
	length := int(median * math.Exp(l.Spread*random.NormFloat64()))
	return min(max(1, length), l.Max)
}

// planner draws the requests of one run.
type planner struct {
	e           *Experiment
	random      *rand.Rand
	workspaces  []Workspace
	totalWeight int
	requests    int
}

// Plan returns the requests of one repetition, sorted by time. The same seed and
// repetition give the same plan for every variant. The noisy workspace uses its own
// random source, so that the other requests are the same with and without it.
func (e *Experiment) Plan(repetition int) []Request {
	p := newPlanner(e, e.Seed+uint64(repetition))
	plan := p.draw(0, e.Duration.Std(), e.Arrivals, func() Workspace { return p.workspace() })
	if e.Noise == nil {
		return plan
	}
	noisy := Workspace{Name: NoisyWorkspace, Weight: 1}
	noisePlanner := newPlanner(e, e.Seed+uint64(repetition)+noiseSeedOffset)
	noise := noisePlanner.draw(e.Noise.From.Std(), e.Noise.To.Std(), Arrivals{Load: e.Noise.Load}, func() Workspace { return noisy })
	for i := range noise {
		noise[i].Noisy = true
	}
	plan = append(plan, noise...)
	slices.SortStableFunc(plan, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// noiseSeedOffset separates the random source of the noisy workspace from that of the
// others.
const noiseSeedOffset = 1 << 32

func newPlanner(e *Experiment, seed uint64) *planner {
	p := &planner{e: e, random: rand.New(rand.NewPCG(seed, 0)), workspaces: e.ResolveDeployment().Workspaces}
	for _, w := range p.workspaces {
		p.totalWeight += w.Weight
	}
	return p
}

// Rate returns the arrival rate in requests per second at a load.
func (e *Experiment) Rate(load float64) float64 {
	return load * float64(e.ResolveDeployment().Replicas) / e.MeanCost().Seconds()
}

func (p *planner) draw(from, to time.Duration, arrivals Arrivals, workspace func() Workspace) []Request {
	var plan []Request
	rate := p.e.Rate(arrivals.Load)
	for at := from; ; {
		gap := p.random.ExpFloat64() / (rate * arrivals.rateFactor(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= to {
			return plan
		}
		plan = append(plan, p.request(at, workspace()))
	}
}

// rateFactor returns the factor by which bursts raise the rate at a time.
func (a Arrivals) rateFactor(at time.Duration) float64 {
	if a.Bursts == nil || at%a.Bursts.Every.Std() >= a.Bursts.Length.Std() {
		return 1
	}
	return a.Bursts.Factor
}

func (p *planner) workspace() Workspace {
	pick := p.random.IntN(p.totalWeight)
	for _, w := range p.workspaces {
		if pick < w.Weight {
			return w
		}
		pick -= w.Weight
	}
	return p.workspaces[0]
}

func (p *planner) request(at time.Duration, workspace Workspace) Request {
	p.requests++
	text := fmt.Sprintf("%s request %d: ", workspace.Name, p.requests) + randomText(p.random, p.e.Prompt.draw(p.random))
	if prefixes := p.e.Prefixes; prefixes != nil {
		prefixRandom := rand.New(rand.NewPCG(p.e.Seed, uint64(p.random.IntN(prefixes.Count))))
		text = workspace.Name + " " + randomText(prefixRandom, prefixes.Tokens) + text
	}
	return Request{At: at, Workspace: workspace, Prompt: text, MaxTokens: p.e.Answer.draw(p.random)}
}

var words = strings.Fields("clay lining silt depth survey pond spring λίμνη νερό creme dosar unghii școală curs gene rim stone wall level crew terrace goat overflow channel")

// randomText returns random words with a total of at least n bytes.
func randomText(random *rand.Rand, n int) string {
	var text strings.Builder
	for text.Len() < n {
		text.WriteString(words[random.IntN(len(words))])
		text.WriteByte(' ')
	}
	return text.String()
}
