// Package configuration reads and changes the configuration in the store, for
// operators' tools.
//
// The record in force stands under one key and is replaced by compare-and-swap
// against the revision that a change was planned on. Before a record is replaced
// it is kept in a ring of history slots, by the writer that replaces it.
package configuration

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/process/revision"
	"github.com/mulberrylane/mulberrylane/version"
)

const (
	historyPrefix = "mulberrylane/history/"
	// HistoryLength is how many replaced revisions are kept.
	HistoryLength = 64
	// settleTries and settlePause bound the reading back after a lost answer.
	settleTries = 20
	settlePause = 250 * time.Millisecond
)

// AcceptedRevision is one accepted revision.
type AcceptedRevision struct {
	Revision version.Revision `json:"revision"`
	version.RevisionRecord
}

// Change is a change that an operator wants.
type Change struct {
	Author, Note string
	// Base is the entry that the change was planned on; its revision is zero when
	// nothing was accepted before.
	Base     AcceptedRevision
	Document version.Document
}

// ConflictError says that another operator's change came first.
type ConflictError struct {
	// Base is the revision that the change was planned on.
	Base version.Revision
	// Current is the entry that stands now.
	Current AcceptedRevision
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d, which the change was planned on, was replaced: %s applied revision %d at %s",
		e.Base, e.Current.Author, e.Current.Revision, e.Current.Time.Format(time.RFC3339))
}

// NotSentError says that a change was not sent, so it is not accepted.
type NotSentError struct{ Cause error }

// Error implements the error interface.
func (e *NotSentError) Error() string { return "the change was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Client reads and changes the configuration.
type Client struct {
	store outside.Store
	// settlePause is the pause between tries to find out what became of a write.
	settlePause time.Duration
}

// NewClient returns a client of the store.
func NewClient(store outside.Store) *Client { return &Client{store: store, settlePause: settlePause} }

// Current reads the entry in force. Its revision is zero when there is none.
func (c *Client) Current(ctx context.Context) (AcceptedRevision, error) {
	kv, err := c.store.Get(ctx, revision.DocumentKey)
	if err != nil {
		return AcceptedRevision{}, err
	}
	return decode(kv)
}

func decode(kv outside.KeyValue) (AcceptedRevision, error) {
	if kv.ModRevision == 0 {
		return AcceptedRevision{}, nil
	}
	record, err := version.DecodeRecord(kv.Value)
	return AcceptedRevision{Revision: version.Revision(kv.ModRevision), RevisionRecord: record}, err
}

// Apply makes a change when the entry that it was planned on still stands. It
// returns a ConflictError when it does not. An error of kind StoreUnavailable
// means that it is not known whether the change was accepted; the nonce of the
// returned entry finds it in the history.
func (c *Client) Apply(ctx context.Context, change Change) (AcceptedRevision, error) {
	record := version.RevisionRecord{
		Author: change.Author, Note: change.Note, Time: time.Now().UTC().Truncate(time.Millisecond),
		Nonce: uuid.NewString(), Sequence: change.Base.Sequence + 1, Base: change.Base.Revision,
		Document: change.Document,
	}
	wanted := AcceptedRevision{RevisionRecord: record}
	body, err := record.Encode()
	if err != nil {
		return wanted, err
	}
	if len(body) > version.MaxDocumentBytes {
		return wanted, fault.New(fault.TooLarge, "the configuration has %d bytes, over the limit of %d", len(body), version.MaxDocumentBytes)
	}
	if err := c.keep(ctx, change.Base); err != nil {
		return wanted, &NotSentError{Cause: err}
	}
	swap := outside.CompareAndSwapRequest{Key: revision.DocumentKey, Value: body, ExpectedRevision: int64(change.Base.Revision)}
	current, swapped, err := c.store.CompareAndSwap(ctx, swap)
	if err != nil {
		return c.settle(ctx, wanted, swap, err)
	}
	return conclude(wanted, current, swapped)
}

// conclude turns the answer to a swap into a result.
func conclude(wanted AcceptedRevision, current outside.KeyValue, swapped bool) (AcceptedRevision, error) {
	if swapped {
		wanted.Revision = version.Revision(current.ModRevision)
		return wanted, nil
	}
	stands, err := decode(current)
	if err != nil {
		return wanted, err
	}
	return wanted, &ConflictError{Base: wanted.Base, Current: stands}
}

// settle finds out what became of a swap whose answer was lost. While the base
// still stands the first swap may be under way, so the same swap, with the same
// nonce, is tried again: at most one of them takes effect.
func (c *Client) settle(ctx context.Context, wanted AcceptedRevision, swap outside.CompareAndSwapRequest, cause error) (AcceptedRevision, error) {
	for range settleTries {
		select {
		case <-ctx.Done():
			return wanted, cause
		case <-time.After(c.settlePause):
		}
		current, swapped, err := c.store.CompareAndSwap(ctx, swap)
		if err != nil {
			continue
		}
		if swapped {
			return conclude(wanted, current, true)
		}
		entry, found, err := c.find(ctx, wanted.Nonce, current)
		if err != nil {
			continue
		}
		if found {
			return entry, nil
		}
		return conclude(wanted, current, false)
	}
	return wanted, cause
}

// find looks for a nonce in the record that stands and in the history.
func (c *Client) find(ctx context.Context, nonce string, current outside.KeyValue) (AcceptedRevision, bool, error) {
	stands, err := decode(current)
	if err != nil {
		return AcceptedRevision{}, false, err
	}
	if stands.Nonce == nonce {
		return stands, true, nil
	}
	history, err := c.History(ctx)
	if err != nil {
		return AcceptedRevision{}, false, err
	}
	for _, entry := range history {
		if entry.Nonce == nonce {
			return entry, true, nil
		}
	}
	return AcceptedRevision{}, false, nil
}

func slotKey(sequence int64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, sequence%HistoryLength)
}

// keep puts an entry that is about to be replaced into its history slot. It may
// be tried again after any error.
func (c *Client) keep(ctx context.Context, entry AcceptedRevision) error {
	if entry.Revision == 0 {
		return nil
	}
	var err error
	for range settleTries {
		var kept bool
		if kept, err = c.keepOnce(ctx, entry); kept {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.settlePause):
		}
	}
	return errors.Wrap(err, "history")
}

// keepOnce says whether the slot holds the entry or a later one.
func (c *Client) keepOnce(ctx context.Context, entry AcceptedRevision) (bool, error) {
	key := slotKey(entry.Sequence)
	slot, err := c.store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	taken, err := decodeSlot(slot)
	if err != nil || taken.Sequence >= entry.Sequence {
		return err == nil, err
	}
	body, err := encodeSlot(entry)
	if err != nil {
		return false, err
	}
	_, swapped, err := c.store.CompareAndSwap(ctx, outside.CompareAndSwapRequest{Key: key, Value: body, ExpectedRevision: slot.ModRevision})
	return swapped, err
}

// History returns the accepted revisions that are kept, the one in force
// included, newest first.
func (c *Client) History(ctx context.Context) ([]AcceptedRevision, error) {
	current, err := c.Current(ctx)
	if err != nil {
		return nil, err
	}
	slots, err := c.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	bySequence := map[int64]AcceptedRevision{}
	if current.Revision > 0 {
		bySequence[current.Sequence] = current
	}
	for _, slot := range slots {
		entry, err := decodeSlot(slot)
		if err != nil {
			return nil, err
		}
		bySequence[entry.Sequence] = entry
	}
	list := make([]AcceptedRevision, 0, len(bySequence))
	for _, entry := range bySequence {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b AcceptedRevision) int { return cmp.Compare(b.Sequence, a.Sequence) })
	return list, nil
}

// GetRevision returns the kept entry with the given revision.
func (c *Client) GetRevision(ctx context.Context, wanted version.Revision) (AcceptedRevision, error) {
	history, err := c.History(ctx)
	if err != nil {
		return AcceptedRevision{}, err
	}
	for _, entry := range history {
		if entry.Revision == wanted {
			return entry, nil
		}
	}
	return AcceptedRevision{}, fault.New(fault.NotFound, "revision %d is not among the last %d; mlctl history lists them", wanted, len(history))
}
