package peers

import "time"

const (
	// maxSenders is how many senders are remembered, many times the entries of a deployment.
	maxSenders = 4096
	// restartSilence is how long the newest incarnation of a sender must have sent nothing for one with a
	// lower number to count as its successor: the clock from which both took their numbers may have been
	// set back. Updates that are under way arrive sooner, and entries send one at least each second.
	restartSilence = 3 * time.Second
)

// senders decides which updates are news: those of the latest incarnation of each sender that are newer
// than all before.
type senders map[string]newestUpdate

// newestUpdate is the newest update of a sender, and when it was received.
type newestUpdate struct {
	incarnation int64
	sequence    uint64
	at          time.Time
}

// accept reports whether an update is news, and remembers it then.
func (s senders) accept(now time.Time, update Update) bool {
	newest, known := s[update.Entry]
	switch {
	case update.Incarnation == newest.incarnation && update.Sequence <= newest.sequence,
		update.Incarnation < newest.incarnation && now.Sub(newest.at) < restartSilence:
		return false
	}
	if !known && len(s) >= maxSenders {
		for other := range s {
			delete(s, other)
			break
		}
	}
	s[update.Entry] = newestUpdate{incarnation: update.Incarnation, sequence: update.Sequence, at: now}
	return true
}
