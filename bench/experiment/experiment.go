// Package experiment defines the experiment files of the load tool: the deployment,
// the load, the faults and the variants to run. Decoding is strict, and every
// validation error names its field.
package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/version"
)

// Kind is the kind of requests that an experiment sends.
type Kind string

// The kinds of experiment.
const (
	Generations Kind = "generations"
	Calls       Kind = "calls"
)

// Variant is the product or a baseline policy. All variants run under the same load
// and faults.
type Variant string

// The variants. All but Product are baselines that the load tool implements.
const (
	// Product is the real system with the profile of the experiment.
	Product Variant = "product"
	// RerunFromPrompt restarts a lost generation from its prompt on a random target.
	RerunFromPrompt Variant = "rerun-from-prompt"
	// FixedTimeout resumes on a random target after a fixed time without a token.
	FixedTimeout Variant = "fixed-timeout-random"
	// RoundRobin resumes on the next target, round-robin, after a fixed time without a
	// token.
	RoundRobin Variant = "round-robin"
	// NoAdmission admits every request immediately, to the target with the fewest
	// requests in flight.
	NoAdmission Variant = "no-admission"
)

// Variants lists all variants.
func Variants() []Variant {
	return []Variant{Product, RerunFromPrompt, FixedTimeout, RoundRobin, NoAdmission}
}

// Bursts raises the arrival rate for Length at the start of each period of Every.
type Bursts struct {
	Every  version.Duration `json:"every"`
	Length version.Duration `json:"length"`
	// Factor multiplies the rate during a burst.
	Factor float64 `json:"factor"`
}

// Arrivals describes an open-loop load: requests are sent at their planned times,
// regardless of the state of earlier ones.
type Arrivals struct {
	// Load is the offered work relative to the capacity of the engines; 0.8 means 80%.
	Load float64 `json:"load"`
	// Bursts, when set, raise the arrival rate above that of Load periodically.
	Bursts *Bursts `json:"bursts,omitempty"`
}

// Lengths is a distribution of token counts: log-normal around Median, and for
// LongShare of the requests around Long.
type Lengths struct {
	Median    int     `json:"median"`
	Long      int     `json:"long"`
	LongShare float64 `json:"longShare"`
	// Spread is the standard deviation of the logarithm.
	Spread float64 `json:"spread"`
	// Max bounds every length.
	Max int `json:"max"`
}

// Prefixes describes how prompts share prefixes, as when many callers ask about the
// same document.
type Prefixes struct {
	// Count is the number of different prefixes in each workspace.
	Count int `json:"count"`
	// Tokens is the length of each prefix.
	Tokens int `json:"tokens"`
}

// FaultType names a fault.
type FaultType string

// The types of fault.
const (
	// EngineDeath kills engines; their agents keep running.
	EngineDeath FaultType = "engine-death"
	// HostSilent drops all packets of hosts without closing connections.
	HostSilent FaultType = "host-silent"
	// PauseReturn pauses engines and lets them continue after Duration.
	PauseReturn FaultType = "pause-return"
	// DomainLoss makes all hosts of a failure domain silent and kills its entries.
	DomainLoss FaultType = "domain-loss"
	// RollingRestart drains and restarts targets, Concurrency at a time.
	RollingRestart FaultType = "rolling-restart"
	// StoreOutage makes the key-value service unavailable for Duration.
	StoreOutage FaultType = "store-outage"
	// EntryDeath kills entries.
	EntryDeath FaultType = "entry-death"
)

// Fault is one scheduled fault.
type Fault struct {
	// At is the time after the start of the load.
	At   version.Duration `json:"at"`
	Type FaultType        `json:"type"`
	// Count is the number of affected targets or entries, which are drawn from the
	// seed. Zero means one.
	Count int `json:"count,omitempty"`
	// Concurrency is the number of targets that a rolling restart restarts at once.
	Concurrency int `json:"together,omitempty"`
	// Domain names the failure domain of a domain loss.
	Domain string `json:"domain,omitempty"`
	// Duration is the length of a pause or an outage.
	Duration version.Duration `json:"for,omitempty"`
}

// Noise describes the load of a workspace that far exceeds its share.
type Noise struct {
	// Load is its offered work relative to the capacity of the engines.
	Load float64 `json:"load"`
	// From and To bound the time in which it sends requests.
	From version.Duration `json:"from"`
	To   version.Duration `json:"to"`
}

// EngineTiming is the speed of the stand-in engines.
type EngineTiming struct {
	// Step is the time of one decoding step. PerSequence is added for each sequence
	// in the batch, and PrefillPerToken for each uncached prompt token.
	Step            version.Duration `json:"step"`
	PerSequence     version.Duration `json:"perSequence"`
	PrefillPerToken version.Duration `json:"prefillPerToken"`
	// Batch is the maximum number of sequences that run at once.
	Batch  int     `json:"batch"`
	Jitter float64 `json:"jitter"`
}

// Experiment is one experiment file.
type Experiment struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Deployment is lakkos or vasilescu.
	Deployment string `json:"deployment"`
	// Replicas and Entries, when set, replace the sizes of the deployment.
	Replicas int          `json:"replicas,omitempty"`
	Entries  int          `json:"entries,omitempty"`
	Arrivals Arrivals     `json:"arrivals"`
	Prompt   Lengths      `json:"prompt"`
	Answer   Lengths      `json:"answer"`
	Prefixes *Prefixes    `json:"prefixes,omitempty"`
	Noise    *Noise       `json:"noise,omitempty"`
	Engine   EngineTiming `json:"engine"`
	Faults   []Fault      `json:"faults,omitempty"`
	// HostListLag is the delay after which the host list shows changes.
	HostListLag version.Duration `json:"hostListLag,omitempty"`
	// Profile holds profile fields that override those of the deployment.
	Profile  json.RawMessage `json:"profile,omitempty"`
	Variants []Variant       `json:"variants"`
	// Reference adds a reference run of the product with the same seed but without
	// faults and noise, and with a load of at most 1.
	Reference   bool             `json:"reference"`
	Seed        uint64           `json:"seed"`
	Repetitions int              `json:"repetitions"`
	Duration    version.Duration `json:"duration"`
	// Drain is the maximum wait at the end for responses that are still running.
	Drain version.Duration `json:"drain"`
}

// Read reads and checks the experiment file at path.
func Read(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	e, err := Decode(data)
	return e, errors.Wrapf(err, "experiment %s", path)
}

// Decode decodes data, rejecting unknown fields, and checks it.
func Decode(data []byte) (*Experiment, error) {
	var e Experiment
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return nil, errors.WithStack(err)
	}
	return &e, e.Check()
}

// ReferenceExperiment returns the experiment of the reference run of e.
func (e *Experiment) ReferenceExperiment() *Experiment {
	reference := *e
	reference.Faults = nil
	reference.Noise = nil
	reference.Arrivals.Load = min(1, e.Arrivals.Load)
	return &reference
}

// MeanCost returns the mean engine time of one request, assuming a full batch.
func (e *Experiment) MeanCost() time.Duration {
	decode := e.Engine.DecodeCost()
	prompt := e.Prompt.Mean()
	if e.Prefixes != nil {
		prompt += float64(e.Prefixes.Tokens) * prefixMissShare
	}
	cost := e.Answer.Mean()*float64(decode) + prompt*float64(e.Engine.PrefillPerToken)
	return time.Duration(cost)
}

// prefixMissShare is the assumed share of shared prefix tokens that are not cached and
// must be prefilled.
const prefixMissShare = 0.25

// DecodeCost returns the engine time of one decoded token, assuming a full batch.
func (p EngineTiming) DecodeCost() time.Duration {
	return p.Step.Std()/time.Duration(p.Batch) + p.PerSequence.Std()
}
