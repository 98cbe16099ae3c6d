package experiment

import (
	"fmt"
	"slices"

	"github.com/mulberrylane/mulberrylane/deploy"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/version"
)

// Check validates e and returns all problems, each with the name of its field.
func (e *Experiment) Check() error {
	c := &settings.Checker{}
	c.Required("name", e.Name)
	if e.Kind != Generations && e.Kind != Calls {
		c.Errorf("kind", "%q must be generations or calls", e.Kind)
	}
	known := slices.Contains(deploy.Names(), e.Deployment)
	if !known {
		c.Errorf("deployment", "%q is not one of %v", e.Deployment, deploy.Names())
	}
	checkLoad(c, "arrivals.load", e.Arrivals.Load)
	if b := e.Arrivals.Bursts; b != nil && (b.Every <= b.Length || b.Length <= 0 || b.Factor <= 0) {
		c.Errorf("arrivals.bursts", "length must be above 0 and below every, and factor above 0")
	}
	e.Prompt.check(c, "prompt")
	e.Answer.check(c, "answer")
	e.checkEngine(c)
	for i, f := range e.Faults {
		f.check(c, i)
	}
	e.checkRuns(c)
	if known {
		e.checkDocument(c)
	}
	return c.Err()
}

func checkLoad(c *settings.Checker, path string, load float64) {
	if load <= 0 || load > 10 {
		c.Errorf(path, "%v must be above 0 and at most 10", load)
	}
}

func (l Lengths) check(c *settings.Checker, path string) {
	if l.Median < 1 || l.Max < l.Median {
		c.Errorf(path, "median must be at least 1 and max at least median")
	}
	if l.LongShare < 0 || l.LongShare > 1 || (l.LongShare > 0 && l.Long < l.Median) {
		c.Errorf(path+".longShare", "must lie between 0 and 1, and long must be at least median")
	}
	if l.Spread < 0 || l.Spread > 2 {
		c.Errorf(path+".spread", "%v is not between 0 and 2", l.Spread)
	}
}

func (e *Experiment) checkEngine(c *settings.Checker) {
	if e.Engine.Step <= 0 || e.Engine.PerSequence < 0 || e.Engine.PrefillPerToken < 0 {
		c.Errorf("engine", "step must be above 0, perSequence and prefillPerToken not negative")
	}
	if e.Engine.Batch < 1 {
		c.Errorf("engine.batch", "must be at least 1")
	}
	if e.Engine.Jitter < 0 || e.Engine.Jitter >= 1 {
		c.Errorf("engine.jitter", "%v is not between 0 and 1", e.Engine.Jitter)
	}
}

func (e *Experiment) checkRuns(c *settings.Checker) {
	if len(e.Variants) == 0 {
		c.Errorf("variants", "must name at least one")
	}
	for _, variant := range e.Variants {
		if !slices.Contains(Variants(), variant) {
			c.Errorf("variants", "%q is not one of %v", variant, Variants())
		}
	}
	if e.Noise != nil {
		checkLoad(c, "noise.load", e.Noise.Load)
	}
	if e.Repetitions < 1 {
		c.Errorf("repetitions", "must be at least 1")
	}
	if e.Duration <= 0 {
		c.Errorf("duration", "must be set")
	}
	if e.Drain <= 0 {
		c.Errorf("drain", "must be set")
	}
	if e.Replicas < 0 || e.Entries < 0 {
		c.Errorf("replicas", "replicas and entries must not be negative")
	}
}

// checkDocument validates the configuration document with the profile fields of e
// applied.
func (e *Experiment) checkDocument(c *settings.Checker) {
	document, err := e.Document()
	if err != nil {
		c.Errorf("profile", "%v", err)
		return
	}
	for _, problem := range version.Validate(document) {
		c.Errorf("profile", "%v", problem)
	}
}

func (f Fault) check(c *settings.Checker, i int) {
	path := fmt.Sprintf("faults[%d]", i)
	switch f.Type {
	case EngineDeath, HostSilent, EntryDeath, RollingRestart:
	case PauseReturn, StoreOutage:
		if f.Duration <= 0 {
			c.Errorf(path+".for", "must be set for %s", f.Type)
		}
	case DomainLoss:
		c.Required(path+".domain", f.Domain)
	default:
		c.Errorf(path+".type", "%q is not a known fault type", f.Type)
	}
	if f.At < 0 || f.Count < 0 || f.Concurrency < 0 {
		c.Errorf(path, "at, count and together must not be negative")
	}
}
