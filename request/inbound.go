package request

import "time"

// Inbound is one request of a caller, as an adapter read it.
type Inbound struct {
	ID     ID
	Method string
	// Path is the path as it was sent, Target the path and query.
	Path   string
	Target string
	Host   string
	// APIKey is the caller's secret; it is never logged or forwarded.
	APIKey string
	// TimeLeft is how long the caller waits; zero means that it did not say.
	TimeLeft time.Duration
	// Position is the id of the last event that the caller has of this answer.
	Position int
	Model    string
	// PromptTokens and MaxTokens size a generation; zero means not known.
	PromptTokens int
	MaxTokens    int
	Parts        []PromptPart
	// Header holds the fields that are forwarded.
	Header map[string][]string
	Body   []byte
}

// PromptPart is one part of a prompt, shared by requests with the same ID.
type PromptPart struct {
	ID     string
	Tokens int
}

// Session returns the id of the last part of the prompt, which belongs to the
// request or its session, or "" when there are no parts.
func (in *Inbound) Session() string {
	if len(in.Parts) == 0 {
		return ""
	}
	return in.Parts[len(in.Parts)-1].ID
}

// Endpoint is where a target takes requests. ID names one life of the target: its
// successor at the same address has another.
type Endpoint struct {
	ID      TargetID
	Address string
}

// Attempt is one request to one target.
type Attempt struct {
	Target    Endpoint
	Workspace string
	// TimeLeft is how long the target may work.
	TimeLeft time.Duration
	// Position is the last event that the caller has.
	Position int
	// KVCopyTo is the address of a target that receives a copy of the attempt's memory
	// while it runs, CopyFrom the address that the copy to go on from is known by.
	// Both may be empty.
	KVCopyTo   string
	KVCopyFrom string
	// KVCopyName is what the copy is known by there.
	KVCopyName string
	// Priority is the rank at the engine, 0 first; nil leaves the engine's default.
	Priority *int
}

// Reply is what the head of a target's answer says.
type Reply struct {
	Status int
	// MatchesRequest says that the answer names the request, Foreign that it names another one.
	MatchesRequest    bool
	NamesOtherRequest bool
	// Signed says that it bears the target's signature.
	Signed bool
	// NotExecuted says that the target did not run the request and will not.
	NotExecuted bool
	// WrongTarget says that another target has the address now.
	WrongTarget bool
	// ContentEncoded says that the body is in a content encoding that nobody asked for.
	ContentEncoded bool
	// Load is the target's load, nil where it did not say.
	Load *Load
}

// Load counts the requests at a target.
type Load struct {
	Running, Waiting, Slots int
}

// Outcome says what a reply means for the request with its head alone. A success
// needs the target's signature and must name the request.
func (r Reply) Outcome() AttemptOutcome {
	switch {
	case r.NamesOtherRequest:
		return AttemptBroken
	case r.NotExecuted:
		return AttemptRefused
	case r.Status >= 200 && r.Status < 300:
		if r.MatchesRequest && r.Signed && !r.ContentEncoded {
			return AttemptAnswered
		}
		return AttemptBroken
	case r.Status >= 500:
		return AttemptFailed
	default:
		return AttemptAnswered
	}
}
