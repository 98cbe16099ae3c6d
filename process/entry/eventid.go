package entry

import (
	"strconv"
	"strings"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// EventHeader carries the id of the last event that the caller has.
const EventHeader = "Last-Event-ID"

// eventID names the next token that a caller wants and where its journal is.
type eventID struct {
	request     request.ID
	target      request.TargetID
	incarnation request.Incarnation
	position    int
	// digest is request.Answer.Sum of the tokens before position, so that a
	// journal with other tokens there is never taken for the caller's.
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

// parseEventID reads the text form.
func parseEventID(text string) (eventID, error) {
	bad := fault.New(fault.BadRequest, "%s: not an event id of this service", EventHeader)
	parts := strings.Split(text, "/")
	if len(parts) != eventIDParts || parts[0] == "" || parts[1] == "" {
		return eventID{}, bad
	}
	incarnation, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return eventID{}, bad
	}
	position, err := strconv.ParseUint(parts[3], 10, 31)
	if err != nil {
		return eventID{}, bad
	}
	digest, err := strconv.ParseUint(parts[4], 16, 64)
	if err != nil {
		return eventID{}, bad
	}
	return eventID{
		request:     request.ID(parts[0]),
		target:      request.TargetID(parts[1]),
		incarnation: request.Incarnation(incarnation),
		position:    int(position),
		digest:      digest,
	}, nil
}
