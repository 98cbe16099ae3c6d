package gateway

import (
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/storesync"
)

const (
	// minPackedBytes is the size of changes from which packing them costs less than sending them.
	minPackedBytes = 2 << 10
	// maxKeptDocuments is how many configurations are kept as dictionaries: a few changes within the time
	// that an entry may be behind.
	maxKeptDocuments = 4
	// maxPackedAnswers is how many packed answers are kept for the entries that ask for the same.
	maxPackedAnswers = 4
	// maxPackers limits the answers that are packed at the same time: others are told to ask elsewhere.
	maxPackers = 8
)

// storeAnswers composes answers about the store that are too large for the control loop: they are packed, once
// for all entries that ask for the same.
type storeAnswers struct {
	documents *lru.Cache[uint64, []byte]
	packed    *lru.Cache[packingKey, *packing]
	packers   chan struct{}

	mu sync.Mutex
	// latest is the hash of the configuration in force, zero before the first.
	latest uint64
}

// packingKey identifies changes and the dictionary that they are packed with.
type packingKey struct {
	from, to   storesync.Position
	dictionary uint64
}

// packing packs changes for the first that asks for them.
type packing struct {
	once sync.Once
	data []byte
	err  error
}

func newStoreAnswers() *storeAnswers {
	// The errors are those of sizes that are not positive.
	documents, _ := lru.New[uint64, []byte](maxKeptDocuments)
	packed, _ := lru.New[packingKey, *packing](maxPackedAnswers)
	return &storeAnswers{documents: documents, packed: packed, packers: make(chan struct{}, maxPackers)}
}

// addDocument keeps the value of the configuration in force as a dictionary.
func (s *storeAnswers) addDocument(value []byte) {
	hash := xxhash.Sum64(value)
	s.documents.Add(hash, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = hash
}

// dictionary returns the hash of the configuration in force, zero if there is none.
func (s *storeAnswers) dictionary() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// pack replaces the changes in the answer to a question by packed ones.
func (s *storeAnswers) pack(question peers.SyncQuestion, answer *peers.SyncAnswer) error {
	dictionary, known := s.documents.Get(question.Dictionary)
	if known {
		answer.Dictionary = question.Dictionary
	}
	key := packingKey{question.Position(), answer.Position(), answer.Dictionary}
	p, ok := s.packed.Get(key)
	if !ok {
		p = &packing{}
		if previous, found, _ := s.packed.PeekOrAdd(key, p); found {
			p = previous
		}
	}
	changes := answer.Changes
	p.once.Do(func() { p.data, p.err = peers.PackChanges(changes, dictionary) })
	answer.Packed, answer.Changes = p.data, nil
	return p.err
}

// unpack reverses pack.
func (s *storeAnswers) unpack(answer *peers.SyncAnswer) error {
	if len(answer.Packed) == 0 {
		return nil
	}
	dictionary, known := s.documents.Get(answer.Dictionary)
	if answer.Dictionary != 0 && !known {
		return errors.New("the dictionary is not known")
	}
	changes, err := peers.UnpackChanges(answer.Packed, dictionary)
	answer.Changes, answer.Packed = changes, nil
	return err
}

// answerTo composes the answer to another entry's question about the store.
func (c *control) answerTo(question peers.SyncQuestion) peers.SyncAnswer {
	freshness := c.currentFreshness()
	position := c.storeHistory.Position()
	answer := peers.SyncAnswer{ID: question.ID}
	answer.Revision, answer.Era = position.Revision, position.Era
	changes, bridged, complete := c.storeHistory.Since(question.Position())
	answer.Changes, answer.Bridged, answer.Incomplete = changes, bridged, !complete
	answer.Lost = c.storeHistory.Lost(question.Position())
	answer.Age = freshness.Age(bootClock())
	answer.Unavailable = c.registry.StoreUnavailable() || !freshness.HasConfiguration() || c.lastReadFailed && c.readsStore()
	answer.Reading = c.gateway.reading.Load()
	if question.Knowledge != nil {
		answer.Knowledge = c.knowledgeFor(*question.Knowledge)
	}
	return answer
}

// answerQuestion answers another entry's question about the store in a datagram.
func (c *control) answerQuestion(question peers.SyncQuestion, entry string, from netip.AddrPort) {
	g := c.gateway
	answer := c.answerTo(question)
	if question.Knowledge != nil && c.isPeerAt(entry, from) {
		c.learn(*question.Knowledge, from)
	}
	if question.LatestEra > g.eras.Current() {
		g.notifyWatch(announcement{entry: entry, position: storesync.Position{Era: question.LatestEra}})
	}
	if !question.Packed || storesync.Size(answer.Changes) < minPackedBytes {
		g.sendAnswer(answer, from)
		return
	}
	select {
	case g.storeAnswers.packers <- struct{}{}:
	default:
		answer.Changes, answer.Incomplete = nil, true
		g.sendAnswer(answer, from)
		return
	}
	go g.protect("answer about the store", func() {
		defer func() { <-g.storeAnswers.packers }()
		if err := g.storeAnswers.pack(question, &answer); err != nil {
			g.log.Event("store_answer_failed", "error", err.Error())
			answer.Packed, answer.Incomplete = nil, true
		}
		g.sendAnswer(answer, from)
	})
}

// sendAnswer sends an answer in a datagram, or that it does not fit.
func (g *Gateway) sendAnswer(answer peers.SyncAnswer, to netip.AddrPort) {
	message := peers.Update{Entry: g.settings.Name, Partial: true, Answer: &answer}
	_, err := g.peers.Send(message, []string{to.String()})
	if errors.Is(err, peers.ErrTooLong) {
		answer.TooLong = !answer.Incomplete
		answer.Changes, answer.Packed, answer.Dictionary, answer.Incomplete, answer.Knowledge = nil, nil, 0, true, nil
		_, err = g.peers.Send(message, []string{to.String()})
	}
	if err != nil {
		g.log.Event("peers_not_told", "error", err.Error())
	}
}

// serveTransfers answers questions of other entries over connections until the process stops.
func (g *Gateway) serveTransfers() {
	err := g.peers.ServeTransfers(func(update peers.Update) (response peers.Update, ok bool) {
		ok = g.protect("transfer to another entry", func() { response, ok = g.answerTransfer(update) }) && ok
		return response, ok
	})
	if err != nil && g.background.Err() == nil {
		g.log.Event("peers_lost", "error", err.Error())
	}
}

// answerTransfer answers a question that came over a connection.
func (g *Gateway) answerTransfer(update peers.Update) (peers.Update, bool) {
	if update.Question == nil {
		return peers.Update{}, false
	}
	question := *update.Question
	var answer peers.SyncAnswer
	if !g.control.do(func() { answer = g.control.answerTo(question) }) {
		return peers.Update{}, false
	}
	if question.Packed && len(answer.Changes) > 0 {
		if err := g.storeAnswers.pack(question, &answer); err != nil {
			g.log.Event("store_answer_failed", "error", err.Error())
			return peers.Update{}, false
		}
	}
	if k := answer.Knowledge; k != nil && k.Version > question.Knowledge.Version && len(k.Document) == 0 {
		document, err := g.compressedConfiguration()
		if err != nil {
			g.log.Event("store_answer_failed", "error", err.Error())
			return peers.Update{}, false
		}
		k.Document = document
	}
	return peers.Update{Entry: g.settings.Name, Partial: true, Answer: &answer}, true
}
