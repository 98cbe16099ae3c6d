package request

import "time"

// Inbound is one request of a caller, decoded from the platform's HTTP format.
type Inbound struct {
	ID     ID
	Method string
	// Path is the request path as sent by the caller; Target is the path with the query.
	Path   string
	Target string
	Host   string
	// APIKey is the caller's secret; it is never logged or forwarded.
	APIKey string
	// TimeLeft is how long the caller still waits for the response; zero means that
	// the caller gave no limit.
	TimeLeft time.Duration
	// Position is the id of the last event of this response that the caller received.
	Position int
	// Resumed is the ID of the attempt that brought the first event of this response, if the caller takes the
	// response up again and says so.
	Resumed ID
	Model   string
	// PromptTokens and MaxTokens give the size of a generation; zero means unknown.
	PromptTokens int
	MaxTokens    int
	Parts        []PromptPart
	// Header holds the header fields that are forwarded.
	Header map[string][]string
	Body   []byte
}

// PromptPart is one part of a prompt. Requests that share the part use the same ID.
type PromptPart struct {
	ID     string
	Tokens int
}

// Session returns the ID of the last part of the prompt, which is specific to the
// request or its session, or "" when there are no parts.
func (in *Inbound) Session() string {
	if len(in.Parts) == 0 {
		return ""
	}
	return in.Parts[len(in.Parts)-1].ID
}

// maxPartIDs is how many parts of a prompt PartIDs returns: entries remember them, and report
// them to each other.
const maxPartIDs = 16

// PartIDs returns the IDs of the parts of the prompt, in order: the last, and as many of the
// first as its limit allows. Those between are left out.
func (in *Inbound) PartIDs() []string {
	ids := make([]string, 0, min(len(in.Parts), maxPartIDs))
	for i, part := range in.Parts {
		if i < maxPartIDs-1 || i == len(in.Parts)-1 {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// Endpoint is the identity and address of a target. ID identifies one incarnation
// of the target: its successor at the same address has a different ID.
type Endpoint struct {
	ID      TargetID
	Address string
}

// Attempt describes one attempt of a request at a target.
type Attempt struct {
	Target    Endpoint
	Workspace string
	// TimeLeft is how long the target may work on the request.
	TimeLeft time.Duration
	// Position is the id of the last event that the caller received.
	Position int
	// KVCopyTo is the address of a target that receives a KV copy of the attempt while
	// it runs. KVCopyFrom is the address under which the KV copy to resume from is
	// registered. Both may be empty.
	KVCopyTo   string
	KVCopyFrom string
	// KVCopyName is the name of the KV copy at KVCopyFrom.
	KVCopyName string
	// Priority is the scheduling priority at the engine, 0 first; nil selects the
	// engine's default.
	Priority *int
}

// Reply holds the status and header information of a target's response.
type Reply struct {
	Status int
	// MatchesRequest is set when the response names the request, NamesOtherRequest when
	// it names a different one.
	MatchesRequest    bool
	NamesOtherRequest bool
	// ConnectionReused is set when the connection had carried another request before.
	ConnectionReused bool
	// Signed is set when the response carries the target's signature.
	Signed bool
	// NotExecuted is set when the target has not run the request and never will.
	NotExecuted bool
	// WrongTarget is set when another target now uses the address.
	WrongTarget bool
	// ContentEncoded is set when the body has a content encoding, which was not requested.
	ContentEncoded bool
	// Load is the load reported by the target; nil when it reported none.
	Load *Load
	Announcement
}

// Announcement is what a target says about itself in a response, whatever it responds to.
type Announcement struct {
	// Draining is set when the target takes no new work.
	Draining bool
	// Backoff is how long the target wants no requests from this process; zero if it did not
	// say so.
	Backoff time.Duration
}

// IsZero reports whether the target announced nothing.
func (a Announcement) IsZero() bool { return a == Announcement{} }

// Load counts the requests at a target.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the target's host now, where 100 is as usual; zero
	// if the target did not say so.
	WorkPercent int
}

// BelongsToRequest reports whether the reply can only be that to the request. Failing
// targets send a response once more, which may arrive where the next one is expected, so a
// reply that names no request belongs only to the first request on a connection.
func (r Reply) BelongsToRequest() bool {
	return !r.NamesOtherRequest && (r.MatchesRequest || !r.ConnectionReused)
}

// Outcome classifies the reply by its status and headers alone. A success must carry
// the target's signature and name the request. A status that guarantees callers that the
// request has not run is a failure unless the target says so itself.
func (r Reply) Outcome() AttemptOutcome {
	switch {
	case !r.BelongsToRequest():
		return AttemptBroken
	case r.NotExecuted:
		return AttemptRefused
	case r.Status >= 200 && r.Status < 300:
		if r.MatchesRequest && r.Signed && !r.ContentEncoded {
			return AttemptAnswered
		}
		return AttemptBroken
	case r.Status >= 500, GuaranteesNotRun(r.Status):
		return AttemptFailed
	default:
		return AttemptAnswered
	}
}

// GuaranteesNotRun reports whether a status tells callers that the request has not run. A
// target guarantees that only with NotExecuted.
func GuaranteesNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	default:
		return false
	}
}
