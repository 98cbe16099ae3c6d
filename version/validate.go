package version

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// The limits that Validate enforces, and the maximum size of a stored record.
const (
	// MaxDocumentBytes keeps a stored record below the size limit of the store, which
	// is one megabyte.
	MaxDocumentBytes = 960 << 10
	maxNameBytes     = 63
	maxPages         = 4096
	maxPriority      = 1000
	maxQueue         = 1 << 20
	// minSuspectAfter prevents a pause of the Go runtime from being mistaken for a
	// failure of the target.
	minSuspectAfter = 10 * time.Millisecond
)

// Validate returns all problems of a document, section by section.
func Validate(document Document) DocumentErrors {
	v := &validation{document: document, digestOwner: map[string]string{}, regionOf: map[string]string{}}
	validateSection(v, "regions", document.Regions, v.region)
	validateSection(v, "profiles", document.Profiles, v.profile)
	validateSection(v, "services", document.Services, v.service)
	validateSection(v, "workspaces", document.Workspaces, v.workspace)
	validateSection(v, "draining", document.Draining, v.drain)
	return v.problems
}

// validation collects the problems of one document.
type validation struct {
	document Document
	problems DocumentErrors
	// digestOwner maps a token digest to its workspace.
	digestOwner map[string]string
	// regionOf maps a failure domain to its region.
	regionOf map[string]string
}

func (v *validation) addProblem(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// require adds a problem at path unless ok is true.
func (v *validation) require(ok bool, path, format string, args ...any) {
	if !ok {
		v.addProblem(path, format, args...)
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// validateSection checks the names and the items of one section, sorted by name.
func validateSection[T any](v *validation, section string, items map[string]T, check func(path, name string, item T)) {
	for _, name := range slices.Sorted(maps.Keys(items)) {
		path := join(section, name)
		v.name(path, name)
		check(path, name, items[name])
	}
}

func (v *validation) name(path, name string) {
	ok := len(name) <= maxNameBytes && namePattern.MatchString(name)
	v.require(ok, path, "the name %q must be at most %d lower-case letters, digits, dots and hyphens", name, maxNameBytes)
}

func (v *validation) region(path, name string, r Region) {
	v.require(len(r.FailureDomains) > 0, path+".failureDomains", "must list at least one failure domain")
	for i, domain := range r.FailureDomains {
		itemPath := fmt.Sprintf("%s.failureDomains[%d]", path, i)
		v.name(itemPath, domain)
		other, taken := v.regionOf[domain]
		v.require(!taken, itemPath, "%q is already in region %q", domain, other)
		v.regionOf[domain] = name
	}
}

func oneOf[T ~string](v *validation, path string, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, string(a))
	}
	v.addProblem(path, "is %q, must be one of %s", string(value), strings.Join(names, ", "))
}

func (v *validation) between(path string, value, low, high int) {
	v.require(low <= value && value <= high, path, "is %d, must be from %d to %d", value, low, high)
}

func (v *validation) positive(path string, value Duration) {
	v.require(value > 0, path, `must be a duration above zero, such as "3s"`)
}

func (v *validation) profile(path, _ string, p Profile) {
	v.positive(path+".deadline", p.Deadline)
	v.positive(path+".firstTokenWithin", p.FirstTokenWithin)
	v.positive(path+".resumeWithin", p.ResumeWithin)
	v.require(p.FirstTokenWithin <= p.Deadline, path+".firstTokenWithin", "must not be longer than the deadline")
	v.require(p.ResumeWithin <= p.Deadline, path+".resumeWithin", "must not be longer than the deadline")
	v.suspectAfter(path+".suspectAfter", p)
	oneOf(v, path+".hedge", p.Hedge, HedgeNever, HedgeOnSuspicion)
	v.require(p.RetryBudget >= 0 && p.RetryBudget <= 1, path+".retryBudget", "is %g, must be from 0 to 1", p.RetryBudget)
	v.between(path+".priority", p.Priority, -maxPriority, maxPriority)
	v.between(path+".queue", p.Queue, 0, maxQueue)
	oneOf(v, path+".overload", p.Overload, OverloadQueue, OverloadRefuse)
	oneOf(v, path+".spread", p.Spread, SpreadNone, SpreadPrefer, SpreadRequire)
	v.require(p.OrphanGrace >= 0, path+".orphanGrace", "must not be negative")
	oneOf(v, path+".drain", p.Drain, DrainFinish, DrainMove)
	oneOf(v, path+".staleConfiguration", p.StaleConfiguration, StaleServe, StaleRefuse)
	if p.StaleConfiguration == StaleRefuse {
		v.positive(path+".staleAfter", p.StaleAfter)
	}
}

func (v *validation) suspectAfter(path string, p Profile) {
	v.require(p.SuspectAfter.Min.Std() >= minSuspectAfter, path+".min", "must be at least %v", minSuspectAfter)
	v.require(p.SuspectAfter.Max >= p.SuspectAfter.Min, path+".max", "must not be shorter than min")
	v.require(p.SuspectAfter.Max <= p.ResumeWithin, path+".max", "must not be longer than resumeWithin")
}

func (v *validation) service(path, _ string, s Service) {
	_, known := v.document.Profiles[s.Profile]
	v.require(known, path+".profile", "there is no profile %q", s.Profile)
	v.require(s.Replicas >= 0, path+".replicas", "must not be negative")
	for i, region := range s.Regions {
		_, known := v.document.Regions[region]
		v.require(known, fmt.Sprintf("%s.regions[%d]", path, i), "there is no region %q", region)
	}
	oneOf(v, path+".kind", s.Kind, ModelService, ApplicationService)
	isModel := s.Kind == ModelService
	v.require(s.Model == nil || isModel, path+".model", "may only be set for a service of kind model")
	v.require(s.Application == nil || !isModel, path+".application", "may only be set for a service of kind application")
	switch {
	case s.Kind == ModelService && s.Model == nil:
		v.addProblem(path+".model", "must be set for a service of kind model")
	case s.Kind == ApplicationService && s.Application == nil:
		v.addProblem(path+".application", "must be set for a service of kind application")
	case s.Model != nil:
		v.model(path+".model", s)
	case s.Application != nil:
		v.application(path+".application", *s.Application)
	}
}

func (v *validation) model(path string, s Service) {
	m := s.Model
	v.require(m.Version != "", path+".version", "must be set")
	v.require(m.Vocabulary != "", path+".vocabulary", "must be set")
	v.require(m.MaxTokens > 0, path+".maxTokens", "must be above zero")
	v.require(m.MinReplicas >= 0, path+".minReplicas", "must not be negative")
	if s.Replicas > 0 {
		v.require(m.MinReplicas < s.Replicas, path+".minReplicas", "is %d, must be below the %d replicas, or no rollout can proceed", m.MinReplicas, s.Replicas)
	}
	v.require(m.LoadsPerMinute >= 0, path+".loadsPerMinute", "must not be negative")
	v.distinct(path+".adapters", m.Adapters)
	v.distinct(path+".preload", m.Preload)
}

func (v *validation) distinct(path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		v.require(name != "", itemPath, "must not be empty")
		v.require(!seen[name], itemPath, "%q is listed twice", name)
		seen[name] = true
	}
}

func (v *validation) application(path string, a Application) {
	for i, method := range a.Idempotent {
		itemPath := fmt.Sprintf("%s.idempotent[%d]", path, i)
		known := method.Method != "" && method.Method == strings.ToUpper(method.Method)
		v.require(known, itemPath+".method", "is %q, must be an HTTP method such as GET", method.Method)
		v.require(strings.HasPrefix(method.Path, "/"), itemPath+".path", `is %q, must begin with "/"`, method.Path)
	}
	v.require(a.MaxBodyBytes >= 0, path+".maxBodyBytes", "must not be negative")
	v.between(path+".pages", a.Pages, 0, maxPages)
	v.require(a.KeyRetention >= 0, path+".keyRetention", "must not be negative")
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (v *validation) workspace(path, name string, w Workspace) {
	v.require(w.Share > 0, path+".share", "must be above zero")
	v.require(w.MaxConcurrent >= 0, path+".maxConcurrent", "must not be negative")
	v.require(w.TokensPerSecond >= 0, path+".tokensPerSecond", "must not be negative")
	v.require(len(w.TokenDigests) > 0, path+".tokenDigests", "must list at least one digest")
	for i, digest := range w.TokenDigests {
		itemPath := fmt.Sprintf("%s.tokenDigests[%d]", path, i)
		v.require(digestPattern.MatchString(digest), itemPath, "must be the SHA-256 digest of a token, 64 lower-case hexadecimal digits")
		other, taken := v.digestOwner[digest]
		v.require(!taken, itemPath, "is also listed for workspace %q", other)
		v.digestOwner[digest] = name
	}
}

func (v *validation) drain(path, _ string, d Drain) {
	v.require(d.Reason != "", path+".reason", "must say why the target is drained")
}
