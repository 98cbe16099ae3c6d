package slopes

import (
	"fmt"
	"strings"
)

// Target is the size that the system is built for.
type Target struct {
	Entries, Replicas int
	// Requests and Tokens are peak rates a second.
	Requests, Tokens   float64
	Workspaces, Models int
	// LinksPerEntry is how many agents an entry keeps a link to.
	LinksPerEntry int
	// ChangesPerDay counts configuration changes. DocumentBytes sizes one document as
	// it is stored and PackedBytes the same after gzip.
	ChangesPerDay              int
	DocumentBytes, PackedBytes float64
	// ControlCPU is a share of a core, ControlMemory bytes and ControlBytes bytes a
	// second that one node may spend on control.
	ControlCPU, ControlMemory, ControlBytes float64
	// StoreWrites and StoreReads are what the key-value service carries a second.
	StoreWrites, StoreReads float64
	// AnswerSeconds is how long an answer lasts on average.
	AnswerSeconds float64
}

const (
	mebibyte = 1 << 20
	kilobyte = 1000
	day      = 86400
	percent  = 100
	micro    = 1e6
	// valueLimit is the largest value that the key-value service holds, in bytes.
	valueLimit = 1_000_000
)

// secondsPerToken is the users' bound for 95 in 100 tokens.
const secondsPerToken = 0.068

// TwoYearObjective is the users' target. Streams follow from the peak rates: an answer has
// Tokens/Requests tokens on average and lasts at most that many times
// secondsPerToken.
func TwoYearObjective() Target {
	const linksPerService = 3 // the least part of a service that entries link to
	t := Target{
		Entries: 320, Replicas: 1600, Requests: 5800, Tokens: 1.4e6,
		Workspaces: 490, Models: 18, LinksPerEntry: 18 * linksPerService, ChangesPerDay: 1700,
		ControlCPU: 0.018, ControlMemory: 256 * mebibyte, ControlBytes: 7 * kilobyte,
		StoreWrites: 300, StoreReads: 2000,
	}
	t.DocumentBytes, t.PackedBytes = documentSizes(t)
	t.AnswerSeconds = t.Tokens / t.Requests * secondsPerToken
	return t
}

// streams returns how many answers run at once at the peak.
func (t Target) streams() float64 { return t.Requests * t.AnswerSeconds }

// Need is what one figure comes to at the target, beside its budget.
type Need struct {
	What   string
	Value  string
	Budget string
	Holds  bool
}

// Needs works out the figures of all roles at the target.
func (s Slopes) Needs(t Target) []Need {
	return append(s.entryNeeds(t), append(s.agentNeeds(t), s.storeNeeds(t)...)...)
}

func (s Slopes) entryNeeds(t Target) []Need {
	entries := float64(t.Entries)
	links := float64(t.LinksPerEntry)
	tokens, requests := t.Tokens/entries, t.Requests/entries
	controlCPU := s.ControlBase + s.ControlLink*links + s.ControlToken*tokens + s.ControlRequest*requests
	idleCPU := s.Entry.BaseCPU + s.Entry.LinkCPU*links
	relayCPU := idleCPU + s.Entry.TokenCPU*tokens + s.Entry.RequestCPU*requests
	controlMemory := s.Entry.BaseMemory + s.Entry.LinkMemory*links
	relayMemory := controlMemory + s.Entry.StreamMemory*t.streams()/entries
	changes := float64(t.ChangesPerDay) / day
	reports := s.Entry.BusyLinkBytes - s.Entry.IdleLinkBytes
	entriesPerAgent := max(1, links*entries/float64(t.Replicas))
	return []Need{
		need("entry: control goroutine", "%.2f%% of a core", percent*controlCPU, percent*t.ControlCPU),
		need("entry: idle process with its links", "%.2f%% of a core", percent*idleCPU, percent*t.ControlCPU),
		need("entry: control bytes, links busy", "%.0f B/s", links*(s.Entry.IdleLinkBytes+reports/entriesPerAgent), t.ControlBytes),
		need("entry: control bytes, links idle", "%.0f B/s", s.Entry.IdleLinkBytes*links, t.ControlBytes),
		need("entry: whole documents of all changes, one copy", "%.0f B/s", t.DocumentBytes*changes, t.ControlBytes),
		need("entry: the same, packed", "%.0f B/s", t.PackedBytes*changes, t.ControlBytes),
		need("entry: memory without streams", "%.0f MiB", controlMemory/mebibyte, t.ControlMemory/mebibyte),
		plain("entry: relaying at the peak", "%.1f%% of a core", percent*relayCPU),
		plain("entry: memory with its streams", "%.0f MiB", relayMemory/mebibyte),
	}
}

func (s Slopes) agentNeeds(t Target) []Need {
	replicas := float64(t.Replicas)
	links := float64(t.LinksPerEntry) * float64(t.Entries) / replicas
	tokens, requests := t.Tokens/replicas, t.Requests/replicas
	streams := t.streams() / replicas
	idleCPU := s.Agent.BaseCPU + max(0, s.Agent.LinkCPU)*links
	return []Need{
		need("agent: idle process with its links", "%.2f%% of a core", percent*idleCPU, percent*t.ControlCPU),
		need("agent: control bytes, links busy", "%.0f B/s", s.Agent.IdleLinkBytes*links+s.Agent.BusyLinkBytes-s.Agent.IdleLinkBytes, t.ControlBytes),
		need("agent: memory without streams", "%.0f MiB", s.Agent.BaseMemory/mebibyte, t.ControlMemory/mebibyte),
		plain("agent: relaying at the peak", "%.1f%% of a core", percent*(idleCPU+s.Agent.TokenCPU*tokens+s.Agent.RequestCPU*requests)),
		plain("agent: memory with its streams", "%.0f MiB", (s.Agent.BaseMemory+s.Agent.StreamMemory*streams)/mebibyte),
	}
}

func (s Slopes) storeNeeds(t Target) []Need {
	entries := float64(t.Entries)
	return []Need{
		need("store: reads of all entries", "%.1f /s", s.Entry.StoreReads*entries, t.StoreReads),
		need("store: writes of all entries, no calls", "%.1f /s", s.Entry.StoreWrites*entries, t.StoreWrites),
		need("store: bytes of the configuration document", "%.0f", t.DocumentBytes, valueLimit),
		need("store: writes of configuration changes", "%.3f /s", float64(t.ChangesPerDay)/day, t.StoreWrites),
	}
}

func need(what, format string, value, budget float64) Need {
	return Need{What: what, Value: fmt.Sprintf(format, value), Budget: fmt.Sprintf(format, budget), Holds: value <= budget}
}

func plain(what, format string, value float64) Need {
	return Need{What: what, Value: fmt.Sprintf(format, value), Budget: "none stated", Holds: true}
}

// Markdown returns the slopes and the needs as two tables.
func (s Slopes) Markdown(t Target) string {
	var b strings.Builder
	b.WriteString("| slope | entry | agent |\n|---|---|---|\n")
	row := func(what, format string, factor float64, figure func(RoleSlopes) float64) {
		fmt.Fprintf(&b, "| %s | "+format+" | "+format+" |\n", what, factor*figure(s.Entry), factor*figure(s.Agent))
	}
	row("processor, idle process", "%.2f%% of a core", percent, func(r RoleSlopes) float64 { return r.BaseCPU })
	row("processor, one idle link", "%.3f%% of a core", percent, func(r RoleSlopes) float64 { return r.LinkCPU })
	row("processor, one token", "%.1f µs", micro, func(r RoleSlopes) float64 { return r.TokenCPU })
	row("processor, one request", "%.0f µs", micro, func(r RoleSlopes) float64 { return r.RequestCPU })
	row("memory, idle process", "%.1f MiB", 1.0/mebibyte, func(r RoleSlopes) float64 { return r.BaseMemory })
	row("memory, one link", "%.0f KiB", 1.0/1024, func(r RoleSlopes) float64 { return r.LinkMemory })
	row("memory, one stream", "%.0f KiB", 1.0/1024, func(r RoleSlopes) float64 { return r.StreamMemory })
	row("control, one idle link", "%.0f B/s", 1, func(r RoleSlopes) float64 { return r.IdleLinkBytes })
	row("control, one busy link", "%.0f B/s", 1, func(r RoleSlopes) float64 { return r.BusyLinkBytes })
	row("store reads, one process", "%.2f /s", 1, func(r RoleSlopes) float64 { return r.StoreReads })
	fmt.Fprintf(&b, "| control goroutine, one token | %.2f µs | |\n", micro*s.ControlToken)
	fmt.Fprintf(&b, "| control goroutine, one request | %.1f µs | |\n", micro*s.ControlRequest)
	fmt.Fprintf(&b, "| control goroutine, one link | %.4f%% of a core | |\n", percent*s.ControlLink)
	b.WriteString("\n| at the target | comes to | budget | holds |\n|---|---|---|---|\n")
	for _, n := range s.Needs(t) {
		holds := "yes"
		if !n.Holds {
			holds = "**no**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", n.What, n.Value, n.Budget, holds)
	}
	return b.String()
}
