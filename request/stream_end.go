package request

// StreamEnd is how the response to one attempt of a stream ended without an error.
type StreamEnd struct {
	// Position is the ID of the last event that the caller had before the response, Events
	// the number of events in it that follow.
	Position, Events int
	// Repeats is set if all events in the response are ones that the caller had before.
	Repeats bool
	// Framed is set if the response itself marks its end, by a length or a last chunk. Other
	// responses end with their connection, which also ends when a target stops.
	Framed bool
	// OtherContent is set if the response says that it is not a stream of events.
	OtherContent bool
	// Confirmed is set if an earlier attempt from the same position ended like this one.
	Confirmed bool
	// TargetRuns is set if the target was found running after the end of the response.
	TargetRuns bool
	// EventBegun is set if an earlier attempt broke off at this position inside the next
	// event, so that the stream goes on.
	EventBegun bool
}

// Complete reports whether the stream is complete. A response that ends after an event is.
// Without any event only a target that was asked for the rest can mean that nothing is left,
// and if it does not mark that end, it may have stopped before its first event; so two must.
// One that repeats events instead has begun again and ended early.
func (e StreamEnd) Complete() bool {
	switch {
	case e.Events > 0:
		return true
	case e.OtherContent, e.EventBegun, e.Repeats:
		return false
	case e.Framed:
		return true
	default:
		return e.Confirmed && e.MayConfirm()
	}
}

// MayConfirm reports whether the end shows that no event is left, if another target ends its
// response in the same way. The connections of a target that stops end like that as well, and
// a request may make each of its targets stop.
func (e StreamEnd) MayConfirm() bool { return e.DependsOnTarget() && e.TargetRuns }

// DependsOnTarget reports whether what the end shows depends on whether the target runs.
func (e StreamEnd) DependsOnTarget() bool {
	return e.Position > 0 && e.Events == 0 && !e.Framed && !e.OtherContent && !e.EventBegun && !e.Repeats
}
