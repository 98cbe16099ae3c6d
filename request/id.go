// Package request holds what lives for one request: its identity, the attempts
// made for it, the answer assembled from them, the recovery machine that decides
// when to start, resume, hedge and end, and the outcome told to the caller.
//
// Nothing in this package does I/O, reads a clock or starts a goroutine.
package request

// ID names one request for its whole life, on every hop. It is a UUIDv7 in its
// canonical text form, made by the entry that admitted the request.
type ID string

// TokenID is the number of a token in the vocabulary of a model.
type TokenID uint32

// AttemptNumber counts the attempts of one request from 1.
type AttemptNumber uint32

// TargetID names one target of a service, as the host list gives it.
type TargetID string

// Incarnation tells two lives of the process beside a target apart. Within one
// target a later life has a greater number.
type Incarnation uint64
