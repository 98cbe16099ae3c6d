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
	// At is the intended start after the start of the load.
	At        time.Duration
	Workspace Workspace
	Prompt    string
	MaxTokens int
	// Noisy says that the noisy workspace asks.
	Noisy bool
}

// Mean returns the mean length.
func (l Lengths) Mean() float64 {
	stretch := math.Exp(l.Spread * l.Spread / 2)
	mean := (1-l.LongShare)*float64(l.Median) + l.LongShare*float64(l.Long)
	return min(mean*stretch, float64(l.Max))
}

// draw returns one length.
func (l Lengths) draw(random *rand.Rand) int {
	middle := float64(l.Median)
	if random.Float64() < l.LongShare {
		middle = float64(l.Long)
	}
	length := int(middle * math.Exp(l.Spread*random.NormFloat64()))
	return min(max(1, length), l.Max)
}

// planner draws the requests of one run.
type planner struct {
	e          *Experiment
	random     *rand.Rand
	workspaces []Workspace
	weight     int
	count      int
}

// Plan returns the requests of one repetition, in order of time. The same seed
// and repetition give the same plan, whatever the variant. The noisy workspace
// draws from a source of its own, so that all others are the same without it.
func (e *Experiment) Plan(repetition int) []Request {
	p := newPlanner(e, e.Seed+uint64(repetition))
	plan := p.draw(0, e.Duration.Std(), e.Arrivals, func() Workspace { return p.workspace() })
	if e.Noise == nil {
		return plan
	}
	noisy := Workspace{Name: NoisyWorkspace, Weight: 1}
	n := newPlanner(e, e.Seed+uint64(repetition)+noiseSeed)
	noise := n.draw(e.Noise.From.Std(), e.Noise.To.Std(), Arrivals{Load: e.Noise.Load}, func() Workspace { return noisy })
	for i := range noise {
		noise[i].Noisy = true
	}
	plan = append(plan, noise...)
	slices.SortStableFunc(plan, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// noiseSeed keeps the noisy workspace's source apart from the others'.
const noiseSeed = 1 << 32

func newPlanner(e *Experiment, seed uint64) *planner {
	p := &planner{e: e, random: rand.New(rand.NewPCG(seed, 0)), workspaces: e.ResolveDeployment().Workspaces}
	for _, w := range p.workspaces {
		p.weight += w.Weight
	}
	return p
}

// Rate returns the arrivals per second at a load.
func (e *Experiment) Rate(load float64) float64 {
	return load * float64(e.ResolveDeployment().Replicas) / e.MeanCost().Seconds()
}

func (p *planner) draw(from, to time.Duration, arrivals Arrivals, workspace func() Workspace) []Request {
	var plan []Request
	rate := p.e.Rate(arrivals.Load)
	for at := from; ; {
		gap := p.random.ExpFloat64() / (rate * arrivals.factor(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= to {
			return plan
		}
		plan = append(plan, p.request(at, workspace()))
	}
}

// factor returns by how much the rate is raised at an instant.
func (a Arrivals) factor(at time.Duration) float64 {
	if a.Bursts == nil || at%a.Bursts.Every.Std() >= a.Bursts.Length.Std() {
		return 1
	}
	return a.Bursts.Factor
}

func (p *planner) workspace() Workspace {
	pick := p.random.IntN(p.weight)
	for _, w := range p.workspaces {
		if pick < w.Weight {
			return w
		}
		pick -= w.Weight
	}
	return p.workspaces[0]
}

func (p *planner) request(at time.Duration, workspace Workspace) Request {
	p.count++
	text := fmt.Sprintf("%s request %d: ", workspace.Name, p.count) + prose(p.random, p.e.Prompt.draw(p.random))
	if x := p.e.Prefixes; x != nil {
		dossier := rand.New(rand.NewPCG(p.e.Seed, uint64(p.random.IntN(x.Count))))
		text = workspace.Name + " " + prose(dossier, x.Tokens) + text
	}
	return Request{At: at, Workspace: workspace, Prompt: text, MaxTokens: p.e.Answer.draw(p.random)}
}

var words = strings.Fields("clay lining silt depth survey pond spring λίμνη νερό creme dosar unghii școală curs gene rim stone wall level crew terrace goat overflow channel")

// prose returns text of about n bytes.
func prose(random *rand.Rand, n int) string {
	var text strings.Builder
	for text.Len() < n {
		text.WriteString(words[random.IntN(len(words))])
		text.WriteByte(' ')
	}
	return text.String()
}
