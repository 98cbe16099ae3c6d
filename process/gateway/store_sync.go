package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/mulberrylane/mulberrylane/platform"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

const (
	// questionTimeout is how long another entry may take to answer: the slowest link between
	// failure domains and some delay on a busy processor.
	questionTimeout = 150 * time.Millisecond
	// transferTimeout is how long an answer over a connection may take to begin: the setup of the
	// connection, and the packing of changes on a busy processor.
	transferTimeout = 600 * time.Millisecond
	// peerDiscoveryTime is how long after its start an entry has heard from all others that
	// are running.
	peerDiscoveryTime = 2 * time.Second
	// behindInterval is the pause after an answer of an earlier era than one that is known: an entry
	// that was told of a new era has read it, or asked for it, by then.
	behindInterval = 150 * time.Millisecond
	// entryReturnTime is how long entries whose registrations are not in the copy from which the store
	// came back are kept: they register again within two seconds, and are read a second later.
	entryReturnTime = 4 * time.Second
)

// peer is what the store holds about an entry.
type peer struct {
	address       string
	failureDomain string
	// linkMbps is the bandwidth of its link in megabits a second, zero if it is not known.
	linkMbps float64
	// registeredAt is when the entry was first found registered at this address.
	registeredAt time.Time
	// missing is set while the registration is not in the copy from which the store came back, and the
	// entry may be about to register again.
	missing bool
	// lapsed is set while the store does not hold the registration of an entry that still sends
	// updates, as after an outage in which leases ended.
	lapsed bool
}

// syncView returns which entries pass on changes of the store: those that sent updates lately,
// and just after the start all that are registered.
func (c *control) syncView() storesync.View {
	self := c.gateway.settings
	starting := time.Since(c.startedAt) < peerDiscoveryTime
	domains := map[string][]string{self.FailureDomain: {self.Name}}
	links := storesync.Links{self.Name: self.LinkMbps}
	for name, p := range c.peers {
		if _, live := c.peerLastSeen[name]; (live || starting) && name != self.Name {
			domains[p.failureDomain] = append(domains[p.failureDomain], name)
			links[name] = p.linkMbps
		}
	}
	return storesync.NewView(self.Name, self.FailureDomain, domains, links)
}

// readsStore reports whether this entry reads the store for the others.
func (c *control) readsStore() bool {
	view := c.syncView()
	return view.ReadsStore()
}

// announceChanges tells the entries that ask this one that there are changes.
func (c *control) announceChanges() {
	view := c.syncView()
	c.announce(view.Downstream())
}

// announceAvailability tells all entries that this one reaches the store again, since the ones
// that they ask may not, or that it does not reach it any more.
func (c *control) announceAvailability() { c.announce(slices.Collect(maps.Keys(c.peers))) }

func (c *control) announce(entries []string) {
	position := c.storeHistory.Newest()
	answer := peers.SyncAnswer{Answer: storesync.Answer{
		Revision: position.Revision, Era: position.Era, Unavailable: c.registry.StoreUnavailable(),
	}}
	message := peers.Update{Entry: c.gateway.settings.Name, Partial: true, Answer: &answer}
	if _, err := c.gateway.peers.Send(message, c.addressesOf(entries)); err != nil {
		c.gateway.log.Event("peers_not_told", "error", err.Error())
	}
}

// announcement tells that an entry knows the changes up to a position.
type announcement struct {
	entry    string
	position storesync.Position
	// unavailable means that the entry does not reach the store.
	unavailable bool
}

// notifyWatch passes an announcement to the watch on the store. If the watch is behind, it asks again
// later.
func (g *Gateway) notifyWatch(a announcement) {
	select {
	case g.syncAnnouncements <- a:
	default:
	}
}

// handleSyncAnswer passes an answer or an announcement to the watch on the store.
func (g *Gateway) handleSyncAnswer(entry string, answer peers.SyncAnswer, from netip.AddrPort) {
	if answer.ID == 0 {
		g.notifyWatch(announcement{entry: entry, position: answer.Position(), unavailable: answer.Unavailable})
		return
	}
	if answer.Knowledge != nil {
		g.control.post(func() { g.control.handleKnowledge(answer.ID, *answer.Knowledge, from) })
	}
	select {
	case g.syncAnswers <- answer:
	default:
	}
}

// answerKind is what became of a question.
type answerKind int

const (
	// unanswered means that the entry did not answer, or has no usable knowledge.
	unanswered answerKind = iota
	// answered means that its knowledge was applied.
	answered
	// behind means that it does not know of an era yet that this one knows of.
	behind
)

// ask asks another entry for changes of the store and applies them.
func (w *storeWatcher) ask(name string) answerKind {
	g := w.gateway
	asked := time.Now()
	kind, result := w.question(name)
	g.metrics.recordQuestion(result, time.Since(asked))
	if kind == unanswered {
		g.log.Event("store_question_failed", "entry", name, "reason", result, "after", time.Since(asked), "position", w.position.String())
	}
	return kind
}

// question asks another entry, and returns what became of it for decisions and for logs.
func (w *storeWatcher) question(name string) (kind answerKind, result string) {
	g := w.gateway
	address, maxAge := "", time.Duration(0)
	question := &peers.SyncQuestion{Revision: w.position.Revision, Era: w.position.Era, Packed: true, Dictionary: g.storeAnswers.dictionary()}
	if latest := max(g.eras.Current(), w.hintedEra); latest > w.position.Era {
		question.LatestEra = latest
	}
	g.control.do(func() {
		c := g.control
		view := c.syncView()
		address, maxAge = c.peers[name].address, view.MaxAge(c.bounds.RevokeWithin.Std())
		question.ID = c.nextQuestion()
		if time.Now().Before(c.knowledgeUntil) {
			question.Knowledge = c.ownKnowledge()
		}
	})
	message := peers.Update{Entry: g.settings.Name, Partial: true, Question: question}
	asked := bootClock()
	if _, err := g.peers.Send(message, []string{address}); err != nil {
		return unanswered, "not_sent"
	}
	answer, result := w.awaitAnswer(question.ID)
	if answer == nil {
		return unanswered, result
	}
	if answer.TooLong {
		if asked, answer = bootClock(), w.fetch(address, message); answer == nil {
			return unanswered, "transfer_failed"
		}
	}
	return w.useAnswer(*answer, asked, maxAge)
}

// awaitAnswer waits for the answer to a question, or returns why there is none.
func (w *storeWatcher) awaitAnswer(id uint64) (*peers.SyncAnswer, string) {
	timeout := time.NewTimer(questionTimeout)
	defer timeout.Stop()
	for {
		select {
		case answer := <-w.gateway.syncAnswers:
			if answer.ID == id {
				return &answer, ""
			}
		case <-timeout.C:
			return nil, "timeout"
		case <-w.gateway.background.Done():
			return nil, "stopping"
		}
	}
}

// fetch asks a question again over a connection, since the answer does not fit a datagram. It returns nil if
// that fails.
func (w *storeWatcher) fetch(address string, message peers.Update) *peers.SyncAnswer {
	g := w.gateway
	response, err := g.peers.Ask(g.withAllowance(transferTimeout, nil), address, message)
	if err != nil {
		g.log.Event("transfer_failed", "address", address, "error", err.Error())
		return nil
	}
	return response.Answer
}

// useAnswer applies the answer to a question that was sent at the given time, if it is of use.
func (w *storeWatcher) useAnswer(answer peers.SyncAnswer, asked, maxAge time.Duration) (kind answerKind, result string) {
	g := w.gateway
	switch {
	case answer.Era > 0 && answer.Era < max(g.eras.Current(), w.position.Era):
		return behind, "behind"
	case answer.Lost:
		w.relist = true
		return unanswered, "lost"
	case answer.Era < w.position.Era:
		return unanswered, "earlier_era"
	}
	if reason := answer.Reason(maxAge); reason != "" {
		return unanswered, reason
	}
	if !w.continues(answer.Answer) {
		return unanswered, "gap"
	}
	if err := g.storeAnswers.unpack(&answer); err != nil {
		g.log.Event("store_answer_unreadable", "error", err.Error())
		return unanswered, "unreadable"
	}
	w.applyAnswer(answer.Answer, asked)
	w.nextQuestion = answer.NextQuestion()
	return answered, "answered"
}

// continues reports whether an answer leads on from the known position.
func (w *storeWatcher) continues(answer storesync.Answer) bool {
	return answer.Era == w.position.Era || answer.Bridged
}

// applyAnswer applies the changes in an answer to a question that was sent at the given time.
func (w *storeWatcher) applyAnswer(answer storesync.Answer, asked time.Duration) {
	position := answer.Position()
	wentBack := position.Era > w.position.Era
	if wentBack {
		w.beginEra(position)
	}
	w.storeAvailable(false)
	items := itemsOf(answer.History())
	if answer.Bridged {
		w.applyBridge(items, position)
	} else {
		w.applyAll(items)
		w.advance(position)
		w.recordChanges(items)
	}
	if wentBack {
		w.eraRead()
	}
	w.confirmFreshness(answer.ConfirmedAt(asked))
}

// applyBridge applies the states of keys that no sequence of changes leads to, as a list has them: in
// order.
func (w *storeWatcher) applyBridge(items []platform.Item, position storesync.Position) {
	slices.SortFunc(items, func(a, b platform.Item) int { return strings.Compare(a.Key, b.Key) })
	w.applyAll(items)
	w.position = position
	c := w.gateway.control
	c.do(func() {
		c.storeHistory.Bridge(changesOf(items), position)
		c.announceChanges()
	})
}

// changesOf returns items as changes.
func changesOf(items []platform.Item) []storesync.Change {
	changes := make([]storesync.Change, len(items))
	for i, item := range items {
		changes[i] = storesync.Change(item)
	}
	return changes
}

// itemsOf returns changes as items.
func itemsOf(changes []storesync.Change) []platform.Item {
	items := make([]platform.Item, len(changes))
	for i, change := range changes {
		items[i] = platform.Item(change)
	}
	return items
}

// recordChanges records the changes up to the current revision for other entries. They must be
// recorded before their confirmation: an answer that names the age of the confirmation has to
// hold all changes before it.
func (w *storeWatcher) recordChanges(items []platform.Item) {
	c := w.gateway.control
	c.do(func() {
		c.storeHistory.Append(changesOf(items), w.position)
		if len(items) > 0 {
			c.announceChanges()
		}
	})
}

// pauseUntilAnnounced waits for d, the end of the process, or the announcement of changes that
// are not known yet; during an outage, the announcement of an entry that reaches the store, and
// otherwise that of one that does not.
func (w *storeWatcher) pauseUntilAnnounced(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case a := <-w.gateway.syncAnnouncements:
			switch {
			case a.position.Era > max(w.position.Era, w.hintedEra):
				w.hintedEra = a.position.Era
				w.announcer = a.entry
				return
			case a.unavailable && w.unavailable:
			case a.unavailable:
				w.outageSuspected = true
				return
			case w.unavailable || a.position.After(w.position):
				w.announcer = a.entry
				return
			}
		case <-w.gateway.eras.began:
			return
		case <-timer.C:
			return
		case <-w.gateway.background.Done():
			return
		}
	}
}
