package entry

import (
	"strconv"
	"strings"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// LastEventIDHeader carries the id of the last event that the caller has received.
const LastEventIDHeader = "Last-Event-ID"

// eventID identifies the position of the next token that a caller needs and the
// target whose agent keeps the journal of the generation.
type eventID struct {
	request     request.ID
	target      request.TargetID
	incarnation request.Incarnation
	position    int
	// digest is request.Output.Hash of the tokens before position. An agent whose
	// journal has different tokens there refuses the attachment.
	digest uint64
}

const eventIDParts = 5

// append appends the text form: request/target/incarnation/position/digest.
func (id eventID) append(dst []byte) []byte {
	dst = append(dst, id.request...)
	dst = append(dst, '/')
	dst = append(dst, id.target...)
	dst = append(dst, '/')
	dst = strconv.AppendUint(dst, uint64(id.incarnation), 10)
	dst = append(dst, '/')
	dst = strconv.AppendInt(dst, int64(id.position), 10)
	dst = append(dst, '/')
	return strconv.AppendUint(dst, id.digest, 16)
}

// parseEventID parses the text form of an event id.
func parseEventID(text string) (eventID, error) {
	invalid := fault.New(fault.BadRequest, "%s: not an event id of this service", LastEventIDHeader)
	parts := strings.Split(text, "/")
	if len(parts) != eventIDParts || parts[0] == "" || parts[1] == "" {
		return eventID{}, invalid
	}
	incarnation, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return eventID{}, invalid
	}
	position, err := strconv.ParseUint(parts[3], 10, 31)
	if err != nil {
		return eventID{}, invalid
	}
	digest, err := strconv.ParseUint(parts[4], 16, 64)
	if err != nil {
		return eventID{}, invalid
	}
	return eventID{
		request:     request.ID(parts[0]),
		target:      request.TargetID(parts[1]),
		incarnation: request.Incarnation(incarnation),
		position:    int(position),
		digest:      digest,
	}, nil
}
