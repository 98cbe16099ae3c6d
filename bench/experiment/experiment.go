// Package experiment holds the files of the load tool: what is run, under which
// load and faults, and by which policies. Reading is strict and every error names
// its field.
package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/version"
)

// Kind says what an experiment loads.
type Kind string

// The kinds of experiment.
const (
	Generations Kind = "generations"
	Calls       Kind = "calls"
)

// Variant is a policy that the same load and faults are run under.
type Variant string

// The variants. All but Product are baselines of the tool, not of the product.
const (
	// Product is the system as it is, under the experiment's profile.
	Product Variant = "product"
	// RerunFromPrompt starts a lost generation anew from its prompt, on a random target.
	RerunFromPrompt Variant = "rerun-from-prompt"
	// FixedTimeout resumes on a random target after a fixed silence.
	FixedTimeout Variant = "fixed-timeout-random"
	// RoundRobin resumes on the next target in turn after a fixed silence.
	RoundRobin Variant = "round-robin"
	// NoAdmission takes every request at once, on the target with the least in flight.
	NoAdmission Variant = "no-admission"
)

// Variants lists all variants.
func Variants() []Variant {
	return []Variant{Product, RerunFromPrompt, FixedTimeout, RoundRobin, NoAdmission}
}

// Bursts raises the arrival rate for a while again and again.
type Bursts struct {
	Every  version.Duration `json:"every"`
	Length version.Duration `json:"length"`
	// Factor multiplies the rate during a burst.
	Factor float64 `json:"factor"`
}

// Arrivals is an open loop: requests come at their instants, whatever became of
// the earlier ones.
type Arrivals struct {
	// Load is the offered work as a share of what the engines can do, 0.8 for 80%.
	Load float64 `json:"load"`
	// Bursts come on top of Load.
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

// Prefixes says how prompts share their beginnings, as when many callers ask
// about the same dossier.
type Prefixes struct {
	// Count is the number of different beginnings in each workspace.
	Count int `json:"count"`
	// Tokens is the length of each.
	Tokens int `json:"tokens"`
}

// FaultType names a fault.
type FaultType string

// The types of fault.
const (
	// EngineDeath kills engines; their agents live.
	EngineDeath FaultType = "engine-death"
	// HostSilent cuts hosts off without a word.
	HostSilent FaultType = "host-silent"
	// PauseReturn stops engines and lets them go on after For.
	PauseReturn FaultType = "pause-return"
	// DomainLoss cuts off all hosts of a failure domain and ends its entries.
	DomainLoss FaultType = "domain-loss"
	// RollingRestart restarts targets as planned, Together at a time.
	RollingRestart FaultType = "rolling-restart"
	// StoreOutage takes the key-value service out for For.
	StoreOutage FaultType = "store-outage"
	// EntryDeath kills entries.
	EntryDeath FaultType = "entry-death"
)

// Fault is one fault on the schedule.
type Fault struct {
	// At is the instant after the start of the load.
	At   version.Duration `json:"at"`
	Type FaultType        `json:"type"`
	// Count is how many parts it strikes, chosen by the seed; one when zero.
	Count int `json:"count,omitempty"`
	// Concurrency is how many targets a rolling restart takes at a time.
	Concurrency int `json:"together,omitempty"`
	// Domain names the failure domain of a domain loss.
	Domain string `json:"domain,omitempty"`
	// Duration is how long a pause or an outage lasts.
	Duration version.Duration `json:"for,omitempty"`
}

// Noise is a workspace that asks for far more than its share.
type Noise struct {
	// Load is its offered work as a share of what the engines can do.
	Load float64 `json:"load"`
	// From and To bound the time in which it asks.
	From version.Duration `json:"from"`
	To   version.Duration `json:"to"`
}

// EngineTiming is the speed of the stand-in engines.
type EngineTiming struct {
	// Step is the time of one decoding step, PerSequence is added for each
	// sequence in the batch and PrefillPerToken for each uncached prompt token.
	Step            version.Duration `json:"step"`
	PerSequence     version.Duration `json:"perSequence"`
	PrefillPerToken version.Duration `json:"prefillPerToken"`
	// Batch bounds the sequences that run at once.
	Batch  int     `json:"batch"`
	Jitter float64 `json:"jitter"`
}

// Experiment is one experiment file.
type Experiment struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Deployment is lakkos or vasilescu.
	Deployment string `json:"deployment"`
	// Replicas and Entries change the sizes of the deployment when set.
	Replicas int          `json:"replicas,omitempty"`
	Entries  int          `json:"entries,omitempty"`
	Arrivals Arrivals     `json:"arrivals"`
	Prompt   Lengths      `json:"prompt"`
	Answer   Lengths      `json:"answer"`
	Prefixes *Prefixes    `json:"prefixes,omitempty"`
	Noise    *Noise       `json:"noise,omitempty"`
	Engine   EngineTiming `json:"engine"`
	Faults   []Fault      `json:"faults,omitempty"`
	// HostListLag is how late the host list shows changes.
	HostListLag version.Duration `json:"hostListLag,omitempty"`
	// Profile holds fields that replace those of the deployment's profile.
	Profile  json.RawMessage `json:"profile,omitempty"`
	Variants []Variant       `json:"variants"`
	// Reference runs the product once more with the same seed undisturbed: no
	// fault, no noise, and at most the full load.
	Reference   bool             `json:"reference"`
	Seed        uint64           `json:"seed"`
	Repetitions int              `json:"repetitions"`
	Duration    version.Duration `json:"duration"`
	// Drain bounds the wait for the answers that still run at the end.
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

// Decode decodes data strictly and checks it.
func Decode(data []byte) (*Experiment, error) {
	var e Experiment
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return nil, errors.WithStack(err)
	}
	return &e, e.Check()
}

// ReferenceExperiment returns the reference of e.
func (e *Experiment) ReferenceExperiment() *Experiment {
	reference := *e
	reference.Faults = nil
	reference.Noise = nil
	reference.Arrivals.Load = min(1, e.Arrivals.Load)
	return &reference
}

// MeanCost returns the mean engine time of one request in a full batch.
func (e *Experiment) MeanCost() time.Duration {
	decode := e.Engine.DecodeCost()
	prompt := e.Prompt.Mean()
	if e.Prefixes != nil {
		prompt += float64(e.Prefixes.Tokens) * prefixMisses
	}
	cost := e.Answer.Mean()*float64(decode) + prompt*float64(e.Engine.PrefillPerToken)
	return time.Duration(cost)
}

// prefixMisses is the share of shared beginnings that is taken to be computed.
const prefixMisses = 0.25

// DecodeCost returns the engine time of one decoded token in a full batch.
func (p EngineTiming) DecodeCost() time.Duration {
	return p.Step.Std()/time.Duration(p.Batch) + p.PerSequence.Std()
}
