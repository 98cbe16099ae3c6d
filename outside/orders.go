package outside

import "context"

// FencingToken is the fencing number of the process that gives orders for a service: the
// store revision at which it took the service's lease key. It only grows.
type FencingToken int64

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to load or unload a model version or an adapter, or to
// take another role. Carrying one out twice has the effect of once.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Model is the model version or adapter of a load or unload.
	Model string `json:"model,omitempty"`
	// Role is the role of a change of role.
	Role         string       `json:"role,omitempty"`
	FencingToken FencingToken `json:"fence"`
}

// OrderExecutor is the side of an engine that takes orders.
type OrderExecutor interface {
	// Execute passes an order on and returns when it was carried out. An error of
	// kind Fenced means that the engine refused its number, OrderFailed that the
	// engine could not carry it out, TargetLost that the outcome is not known.
	Execute(ctx context.Context, order Order) error
	// Role returns the role that the engine has.
	Role(ctx context.Context) (string, error)
}
