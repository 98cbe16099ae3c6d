package slopes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrylane/mulberrylane/bench/caller"
	"github.com/mulberrylane/mulberrylane/bench/demo"
	"github.com/mulberrylane/mulberrylane/bench/fleet"
)

// Names of the phases of a measurement.
const (
	PhaseIdle  = "idle"
	PhaseLight = "light"
	PhaseHeavy = "heavy"
	PhaseShort = "short"
)

const (
	// settleTime is the delay before a sample is taken, in which connections and caches
	// reach a steady state.
	settleTime = 3 * time.Second
	// samplePeriod is the period over which usage is measured.
	samplePeriod = 8 * time.Second
	// promptBytes is the length of prompts. Each byte is one token.
	promptBytes = 200
)

// phase is one level of load: callers that each send the next request as soon as they
// have received their response.
type phase struct {
	name    string
	callers int
	tokens  int
}

func phases() []phase {
	return []phase{
		{name: PhaseIdle},
		{name: PhaseLight, callers: 20, tokens: 250},
		{name: PhaseHeavy, callers: 140, tokens: 250},
		{name: PhaseShort, callers: 60, tokens: 2},
	}
}

// Sample is the usage per second in one phase, averaged over the processes of each
// role.
type Sample struct {
	Phase   string `json:"phase"`
	Entries int    `json:"entries"`
	Engines int    `json:"engines"`
	// Streams is the number of concurrent streams.
	Streams int `json:"streams"`
	// Tokens and Requests are totals of all callers per second.
	Tokens   float64 `json:"tokensPerSecond"`
	Requests float64 `json:"requestsPerSecond"`
	// Entry and Agent hold rates, except for memory and links, which are current values.
	Entry Usage `json:"entry"`
	Agent Usage `json:"agent"`
}

// loadCounts counts what callers have received.
type loadCounts struct{ tokens, requests, failed atomic.Int64 }

// Measure takes a sample of the plan's processes in every phase.
func Measure(ctx context.Context, plan demo.Plan, out io.Writer) ([]Sample, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	if err := plan.AwaitReady(ctx, client); err != nil {
		return nil, err
	}
	var samples []Sample
	for _, p := range phases() {
		sample, err := measurePhase(ctx, client, plan, p)
		if err != nil {
			return nil, err
		}
		_, _ = fmt.Fprintf(out, "%d entries, %d engines, %-5s: %7.0f tokens/s, %6.1f requests/s, entry %5.1f%% and agent %5.2f%% of a core\n",
			sample.Entries, sample.Engines, p.name, sample.Tokens, sample.Requests,
			100*sample.Entry.CPUSeconds, 100*sample.Agent.CPUSeconds)
		samples = append(samples, sample)
	}
	return samples, nil
}

func measurePhase(ctx context.Context, client *http.Client, plan demo.Plan, p phase) (Sample, error) {
	loadCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	received := &loadCounts{}
	for i := range p.callers {
		callers.Go(func() { generateLoad(loadCtx, client, plan, p, i, received) })
	}
	defer callers.Wait()
	defer stop()
	time.Sleep(settleTime)
	sample := Sample{Phase: p.name, Entries: len(plan.Entries), Engines: len(plan.Engines), Streams: p.callers}
	begin := time.Now()
	tokens, requests := received.tokens.Load(), received.requests.Load()
	entryBefore, agentBefore, err := readRoles(ctx, client, plan)
	if err != nil {
		return sample, err
	}
	time.Sleep(samplePeriod)
	entryAfter, agentAfter, err := readRoles(ctx, client, plan)
	if err != nil {
		return sample, err
	}
	seconds := time.Since(begin).Seconds()
	sample.Tokens = float64(received.tokens.Load()-tokens) / seconds
	sample.Requests = float64(received.requests.Load()-requests) / seconds
	sample.Entry = usageRate(entryBefore, entryAfter, seconds)
	sample.Agent = usageRate(agentBefore, agentAfter, seconds)
	return sample, nil
}

// usageRate returns the usage per second between two readings. Memory and links are
// taken from the second reading.
func usageRate(before, after Usage, seconds float64) Usage {
	u := Usage{}.addScaled(after.addScaled(before, -1), 1/seconds)
	u.ResidentBytes = after.ResidentBytes
	u.Links = after.Links
	return u
}

func readRoles(ctx context.Context, client *http.Client, plan demo.Plan) (entry, agent Usage, err error) {
	if entry, err = readMeanUsage(ctx, client, plan.EntryOperatorAddresses); err != nil {
		return entry, agent, err
	}
	agent, err = readMeanUsage(ctx, client, plan.AgentOperatorAddresses)
	return entry, agent, err
}

func readMeanUsage(ctx context.Context, client *http.Client, addresses []string) (Usage, error) {
	list := make([]Usage, 0, len(addresses))
	for _, address := range addresses {
		usage, err := readUsage(ctx, client, address)
		if err != nil {
			return Usage{}, err
		}
		list = append(list, usage)
	}
	return mean(list), nil
}

// generateLoad sends requests one after another until ctx is done.
func generateLoad(ctx context.Context, client *http.Client, plan demo.Plan, p phase, number int, received *loadCounts) {
	c := caller.New(client)
	base := plan.Entries[number%len(plan.Entries)]
	for turn := 0; ctx.Err() == nil; turn++ {
		prompt := fmt.Sprintf("caller %d turn %d %s", number, turn, strings.Repeat("dew pond ", promptBytes/9))
		request := caller.CompletionRequest{Model: fleet.TrialService, Prompt: prompt, MaxTokens: p.tokens, BearerToken: fleet.TrialToken}
		response := &caller.CompletionResponse{OnTokens: func(tokens int) { received.tokens.Add(int64(tokens)) }}
		if err := c.Resume(ctx, base, request, response); err != nil || !response.Done {
			received.failed.Add(1)
			continue
		}
		received.requests.Add(1)
	}
}
