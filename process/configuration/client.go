// Package configuration reads and changes the configuration in the store, for
// operators' tools.
//
// The current record is stored under one key and is replaced by compare-and-swap
// against the revision that a change was planned on. Before a writer replaces a
// record, it saves that record in a ring of history slots.
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
	// maxAttempts and retryInterval bound the retries that save the history or find
	// out the outcome of a write whose response was lost.
	maxAttempts   = 20
	retryInterval = 250 * time.Millisecond
)

// AcceptedRevision is a record that the store accepted, with its revision number.
type AcceptedRevision struct {
	Revision version.Revision `json:"revision"`
	version.RevisionRecord
}

// Change is a change requested by an operator.
type Change struct {
	Author, Note string
	// Base is the revision that the change was planned on; its number is zero if no
	// revision was accepted before.
	Base     AcceptedRevision
	Document version.Document
}

// ConflictError means that another operator's change was accepted first.
type ConflictError struct {
	// Base is the revision that the change was planned on.
	Base version.Revision
	// Current is the newest accepted revision.
	Current AcceptedRevision
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d, which the change was planned on, was replaced: %s applied revision %d at %s",
		e.Base, e.Current.Author, e.Current.Revision, e.Current.Time.Format(time.RFC3339))
}

// NotSentError means that a change was not sent to the store and so not accepted.
type NotSentError struct{ Cause error }

// Error implements the error interface.
func (e *NotSentError) Error() string { return "the change was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Client reads and changes the configuration.
type Client struct {
	store outside.Store
	// retryInterval is the interval between retries.
	retryInterval time.Duration
}

// NewClient returns a client of the store.
func NewClient(store outside.Store) *Client {
	return &Client{store: store, retryInterval: retryInterval}
}

// Current reads the newest accepted revision. Its number is zero if there is none.
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

// Apply applies a change if the revision that it was planned on is still current, and
// returns a ConflictError if it is not. An error of kind StoreUnavailable means that
// it is not known whether the change was accepted; if it was, the history has a
// revision with the nonce of the returned one.
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
	if err := c.saveHistory(ctx, change.Base); err != nil {
		return wanted, &NotSentError{Cause: err}
	}
	swap := outside.CompareAndSwapRequest{Key: revision.DocumentKey, Value: body, ExpectedRevision: int64(change.Base.Revision)}
	current, swapped, err := c.store.CompareAndSwap(ctx, swap)
	if err != nil {
		return c.resolveUnknown(ctx, wanted, swap, err)
	}
	return swapResult(wanted, current, swapped)
}

// swapResult returns the result of Apply for the response to a compare-and-swap.
func swapResult(wanted AcceptedRevision, current outside.KeyValue, swapped bool) (AcceptedRevision, error) {
	if swapped {
		wanted.Revision = version.Revision(current.ModRevision)
		return wanted, nil
	}
	existing, err := decode(current)
	if err != nil {
		return wanted, err
	}
	return wanted, &ConflictError{Base: wanted.Base, Current: existing}
}

// resolveUnknown finds out the outcome of a compare-and-swap whose response was lost.
// While the base is still current, the first swap may still be in transit, so the same
// swap with the same nonce is retried; at most one of them takes effect.
func (c *Client) resolveUnknown(ctx context.Context, wanted AcceptedRevision, swap outside.CompareAndSwapRequest, cause error) (AcceptedRevision, error) {
	for range maxAttempts {
		select {
		case <-ctx.Done():
			return wanted, cause
		case <-time.After(c.retryInterval):
		}
		current, swapped, err := c.store.CompareAndSwap(ctx, swap)
		if err != nil {
			continue
		}
		if swapped {
			return swapResult(wanted, current, true)
		}
		accepted, found, err := c.findNonce(ctx, wanted.Nonce, current)
		if err != nil {
			continue
		}
		if found {
			return accepted, nil
		}
		return swapResult(wanted, current, false)
	}
	return wanted, cause
}

// findNonce looks for the revision with a nonce in the current record and the history.
func (c *Client) findNonce(ctx context.Context, nonce string, kv outside.KeyValue) (AcceptedRevision, bool, error) {
	current, err := decode(kv)
	if err != nil {
		return AcceptedRevision{}, false, err
	}
	if current.Nonce == nonce {
		return current, true, nil
	}
	history, err := c.History(ctx)
	if err != nil {
		return AcceptedRevision{}, false, err
	}
	for _, accepted := range history {
		if accepted.Nonce == nonce {
			return accepted, true, nil
		}
	}
	return AcceptedRevision{}, false, nil
}

func slotKey(sequence int64) string {
	return fmt.Sprintf("%s%02d", historyPrefix, sequence%HistoryLength)
}

// saveHistory saves a revision that is about to be replaced in its history slot. It is
// idempotent, so it retries after any error.
func (c *Client) saveHistory(ctx context.Context, accepted AcceptedRevision) error {
	if accepted.Revision == 0 {
		return nil
	}
	var err error
	for range maxAttempts {
		var saved bool
		if saved, err = c.trySaveHistory(ctx, accepted); saved {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.retryInterval):
		}
	}
	return errors.Wrap(err, "save the replaced revision in the history")
}

// trySaveHistory tries once to save a revision in its history slot. It reports whether
// the slot then has that revision or a later one.
func (c *Client) trySaveHistory(ctx context.Context, accepted AcceptedRevision) (bool, error) {
	key := slotKey(accepted.Sequence)
	slot, err := c.store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	existing, err := decodeSlot(slot)
	if err != nil || existing.Sequence >= accepted.Sequence {
		return err == nil, err
	}
	body, err := encodeSlot(accepted)
	if err != nil {
		return false, err
	}
	_, swapped, err := c.store.CompareAndSwap(ctx, outside.CompareAndSwapRequest{Key: key, Value: body, ExpectedRevision: slot.ModRevision})
	return swapped, err
}

// History returns the accepted revisions that are kept, including the current one,
// newest first.
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
		accepted, err := decodeSlot(slot)
		if err != nil {
			return nil, err
		}
		bySequence[accepted.Sequence] = accepted
	}
	list := make([]AcceptedRevision, 0, len(bySequence))
	for _, accepted := range bySequence {
		list = append(list, accepted)
	}
	slices.SortFunc(list, func(a, b AcceptedRevision) int { return cmp.Compare(b.Sequence, a.Sequence) })
	return list, nil
}

// GetRevision returns the kept revision with the given number.
func (c *Client) GetRevision(ctx context.Context, wanted version.Revision) (AcceptedRevision, error) {
	history, err := c.History(ctx)
	if err != nil {
		return AcceptedRevision{}, err
	}
	for _, accepted := range history {
		if accepted.Revision == wanted {
			return accepted, nil
		}
	}
	return AcceptedRevision{}, fault.New(fault.NotFound, "revision %d is not among the last %d; mlctl history lists them", wanted, len(history))
}
