package outside

import "context"

// FencingToken is the fencing token of the process that sends orders for a service: the
// store revision at which the process acquired the service's lease key. It only
// increases, so that engines can refuse orders of a previous lease holder.
type FencingToken int64

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order tells an engine to load or unload a model version or an adapter, or to change
// its role. Orders are idempotent.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Model is the model version or adapter to load or unload.
	Model string `json:"model,omitempty"`
	// Role is the new role.
	Role         string       `json:"role,omitempty"`
	FencingToken FencingToken `json:"fence"`
}

// OrderExecutor is the interface of an engine for orders.
type OrderExecutor interface {
	// Execute sends an order to the engine and returns when it was executed. An error of
	// kind Fenced means that the engine refused the fencing token, OrderFailed that the
	// engine could not execute the order, and TargetLost that the outcome is unknown.
	Execute(ctx context.Context, order Order) error
	// Role returns the engine's current role.
	Role(ctx context.Context) (string, error)
}
