package slopes

import (
	"fmt"
	"strings"
)

// Objective is the size that the system is designed for.
type Objective struct {
	Entries, Replicas int
	// Requests and Tokens are peak rates per second.
	Requests, Tokens   float64
	Workspaces, Models int
	// LinksPerEntry is the number of agents to which an entry keeps a link.
	LinksPerEntry int
	// ChangesPerDay is the number of configuration changes per day. DocumentBytes is the
	// size of a configuration document as stored and CompressedBytes its size after gzip.
	ChangesPerDay                  int
	DocumentBytes, CompressedBytes float64
	// ControlCPU, ControlMemory and ControlBytes are the budgets of one node for control:
	// a share of a core, bytes, and bytes per second.
	ControlCPU, ControlMemory, ControlBytes float64
	// StoreWrites and StoreReads are what the key-value service can serve per second.
	StoreWrites, StoreReads float64
	// ResponseSeconds is the average duration of a response.
	ResponseSeconds float64
}

const (
	mebibyte              = 1 << 20
	kilobyte              = 1000
	secondsPerDay         = 86400
	percent               = 100
	microsecondsPerSecond = 1e6
	// maxValueBytes is the maximum size of a value in the key-value service.
	maxValueBytes = 1_000_000
)

// maxSecondsPerToken is the users' bound for the time between tokens, to be met by 95 in
// 100 tokens.
const maxSecondsPerToken = 0.068

// TwoYearObjective returns the users' objective for two years ahead. The number of
// concurrent streams is derived from the peak rates: a response has Tokens/Requests
// tokens on average and lasts at most that many times maxSecondsPerToken.
func TwoYearObjective() Objective {
	const linksPerService = 3 // the minimum number of targets per service that an entry keeps links to
	o := Objective{
		Entries: 320, Replicas: 1600, Requests: 5800, Tokens: 1.4e6,
		Workspaces: 490, Models: 18, LinksPerEntry: 18 * linksPerService, ChangesPerDay: 1700,
		ControlCPU: 0.018, ControlMemory: 256 * mebibyte, ControlBytes: 7 * kilobyte,
		StoreWrites: 300, StoreReads: 2000,
	}
	o.DocumentBytes, o.CompressedBytes = documentSizes(o)
	o.ResponseSeconds = o.Tokens / o.Requests * maxSecondsPerToken
	return o
}

// concurrentStreams returns the number of concurrent responses at the peak.
func (o Objective) concurrentStreams() float64 { return o.Requests * o.ResponseSeconds }

// Estimate is the estimated value of one figure at the objective, and its budget.
type Estimate struct {
	What   string
	Value  string
	Budget string
	Holds  bool
}

// Estimates returns the estimates for all roles at the objective.
func (s Slopes) Estimates(o Objective) []Estimate {
	return append(s.entryEstimates(o), append(s.agentEstimates(o), s.storeEstimates(o)...)...)
}

func (s Slopes) entryEstimates(o Objective) []Estimate {
	entries := float64(o.Entries)
	links := float64(o.LinksPerEntry)
	tokens, requests := o.Tokens/entries, o.Requests/entries
	controlCPU := s.ControlBase + s.ControlLink*links + s.ControlToken*tokens + s.ControlRequest*requests
	idleCPU := s.Entry.BaseCPU + s.Entry.LinkCPU*links
	relayCPU := idleCPU + s.Entry.TokenCPU*tokens + s.Entry.RequestCPU*requests
	controlMemory := s.Entry.BaseMemory + s.Entry.LinkMemory*links
	relayMemory := controlMemory + s.Entry.StreamMemory*o.concurrentStreams()/entries
	changes := float64(o.ChangesPerDay) / secondsPerDay
	reportBytes := s.Entry.BusyLinkBytes - s.Entry.IdleLinkBytes
	entriesPerAgent := max(1, links*entries/float64(o.Replicas))
	return []Estimate{
		withBudget("entry: control goroutine", "%.2f%% of a core", percent*controlCPU, percent*o.ControlCPU),
		withBudget("entry: idle process with its links", "%.2f%% of a core", percent*idleCPU, percent*o.ControlCPU),
		withBudget("entry: control bytes, links busy", "%.0f B/s", links*(s.Entry.IdleLinkBytes+reportBytes/entriesPerAgent), o.ControlBytes),
		withBudget("entry: control bytes, links idle", "%.0f B/s", s.Entry.IdleLinkBytes*links, o.ControlBytes),
		withBudget("entry: whole documents of all changes, one copy", "%.0f B/s", o.DocumentBytes*changes, o.ControlBytes),
		withBudget("entry: the same, packed", "%.0f B/s", o.CompressedBytes*changes, o.ControlBytes),
		withBudget("entry: memory without streams", "%.0f MiB", controlMemory/mebibyte, o.ControlMemory/mebibyte),
		withoutBudget("entry: relaying at the peak", "%.1f%% of a core", percent*relayCPU),
		withoutBudget("entry: memory with its streams", "%.0f MiB", relayMemory/mebibyte),
	}
}

func (s Slopes) agentEstimates(o Objective) []Estimate {
	replicas := float64(o.Replicas)
	links := float64(o.LinksPerEntry) * float64(o.Entries) / replicas
	tokens, requests := o.Tokens/replicas, o.Requests/replicas
	streams := o.concurrentStreams() / replicas
	idleCPU := s.Agent.BaseCPU + max(0, s.Agent.LinkCPU)*links
	return []Estimate{
		withBudget("agent: idle process with its links", "%.2f%% of a core", percent*idleCPU, percent*o.ControlCPU),
		withBudget("agent: control bytes, links busy", "%.0f B/s", s.Agent.IdleLinkBytes*links+s.Agent.BusyLinkBytes-s.Agent.IdleLinkBytes, o.ControlBytes),
		withBudget("agent: memory without streams", "%.0f MiB", s.Agent.BaseMemory/mebibyte, o.ControlMemory/mebibyte),
		withoutBudget("agent: relaying at the peak", "%.1f%% of a core", percent*(idleCPU+s.Agent.TokenCPU*tokens+s.Agent.RequestCPU*requests)),
		withoutBudget("agent: memory with its streams", "%.0f MiB", (s.Agent.BaseMemory+s.Agent.StreamMemory*streams)/mebibyte),
	}
}

func (s Slopes) storeEstimates(o Objective) []Estimate {
	entries := float64(o.Entries)
	return []Estimate{
		withBudget("store: reads of all entries", "%.1f /s", s.Entry.StoreReads*entries, o.StoreReads),
		withBudget("store: writes of all entries, no calls", "%.1f /s", s.Entry.StoreWrites*entries, o.StoreWrites),
		withBudget("store: bytes of the configuration document", "%.0f", o.DocumentBytes, maxValueBytes),
		withBudget("store: writes of configuration changes", "%.3f /s", float64(o.ChangesPerDay)/secondsPerDay, o.StoreWrites),
	}
}

func withBudget(what, format string, value, budget float64) Estimate {
	return Estimate{What: what, Value: fmt.Sprintf(format, value), Budget: fmt.Sprintf(format, budget), Holds: value <= budget}
}

func withoutBudget(what, format string, value float64) Estimate {
	return Estimate{What: what, Value: fmt.Sprintf(format, value), Budget: "none stated", Holds: true}
}

// Markdown formats the slopes and the estimates as two tables.
func (s Slopes) Markdown(o Objective) string {
	var b strings.Builder
	b.WriteString("| slope | entry | agent |\n|---|---|---|\n")
	row := func(what, format string, factor float64, value func(RoleSlopes) float64) {
		fmt.Fprintf(&b, "| %s | "+format+" | "+format+" |\n", what, factor*value(s.Entry), factor*value(s.Agent))
	}
	row("processor, idle process", "%.2f%% of a core", percent, func(r RoleSlopes) float64 { return r.BaseCPU })
	row("processor, one idle link", "%.3f%% of a core", percent, func(r RoleSlopes) float64 { return r.LinkCPU })
	row("processor, one token", "%.1f µs", microsecondsPerSecond, func(r RoleSlopes) float64 { return r.TokenCPU })
	row("processor, one request", "%.0f µs", microsecondsPerSecond, func(r RoleSlopes) float64 { return r.RequestCPU })
	row("memory, idle process", "%.1f MiB", 1.0/mebibyte, func(r RoleSlopes) float64 { return r.BaseMemory })
	row("memory, one link", "%.0f KiB", 1.0/1024, func(r RoleSlopes) float64 { return r.LinkMemory })
	row("memory, one stream", "%.0f KiB", 1.0/1024, func(r RoleSlopes) float64 { return r.StreamMemory })
	row("control, one idle link", "%.0f B/s", 1, func(r RoleSlopes) float64 { return r.IdleLinkBytes })
	row("control, one busy link", "%.0f B/s", 1, func(r RoleSlopes) float64 { return r.BusyLinkBytes })
	row("store reads, one process", "%.2f /s", 1, func(r RoleSlopes) float64 { return r.StoreReads })
	fmt.Fprintf(&b, "| control goroutine, one token | %.2f µs | |\n", microsecondsPerSecond*s.ControlToken)
	fmt.Fprintf(&b, "| control goroutine, one request | %.1f µs | |\n", microsecondsPerSecond*s.ControlRequest)
	fmt.Fprintf(&b, "| control goroutine, one link | %.4f%% of a core | |\n", percent*s.ControlLink)
	b.WriteString("\n| at the target | comes to | budget | holds |\n|---|---|---|---|\n")
	for _, estimate := range s.Estimates(o) {
		holds := "yes"
		if !estimate.Holds {
			holds = "**no**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", estimate.What, estimate.Value, estimate.Budget, holds)
	}
	return b.String()
}
