package openai

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// OrderClient reaches the side of an engine that takes orders: POST /orders with the
// order as JSON, and GET /role. An engine that checks fencing numbers answers an
// old one with 409.
type OrderClient struct{ engine *Engine }

// NewOrderClient returns the adapter to the engine at the base URL.
func NewOrderClient(base string, client *http.Client) *OrderClient {
	return &OrderClient{engine: NewEngine(base, client)}
}

var _ outside.OrderExecutor = (*OrderClient)(nil)

// Execute implements outside.Orders.
func (o *OrderClient) Execute(ctx context.Context, order outside.Order) error {
	response, err := o.engine.post(ctx, "/orders", order)
	if err == nil {
		return errors.Wrap(response.Body.Close(), "close")
	}
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusConflict {
		return fault.Wrap(fault.Fenced, err, "the engine refused the order's number")
	}
	if errors.As(err, &status) {
		return fault.Wrap(fault.OrderFailed, err, "the engine could not carry out the order")
	}
	return err
}

// Role implements outside.Orders.
func (o *OrderClient) Role(ctx context.Context) (string, error) {
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, o.engine.base+"/role", nil)
	if err != nil {
		return "", errors.Wrap(err, "request")
	}
	response, err := o.engine.do(ask)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Role string `json:"role"`
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply.Role, errors.Wrap(err, "role")
}
