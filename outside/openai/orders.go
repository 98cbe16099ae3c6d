package openai

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

// OrderClient sends orders to an engine: POST /orders with the order as JSON, and
// GET /role. An engine that checks fencing tokens responds to an outdated one with 409.
type OrderClient struct{ engine *Engine }

// NewOrderClient returns the adapter to the engine at the base URL.
func NewOrderClient(base string, client *http.Client) *OrderClient {
	return &OrderClient{engine: NewEngine(base, client)}
}

var _ outside.OrderExecutor = (*OrderClient)(nil)

// Execute implements outside.OrderExecutor.
func (o *OrderClient) Execute(ctx context.Context, order outside.Order) error {
	response, err := o.engine.post(ctx, "/orders", order)
	if err == nil {
		return errors.Wrap(response.Body.Close(), "close order response")
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

// Role implements outside.OrderExecutor.
func (o *OrderClient) Role(ctx context.Context) (string, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, o.engine.baseURL+"/role", nil)
	if err != nil {
		return "", errors.Wrap(err, "create role request")
	}
	response, err := o.engine.do(httpRequest)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Role string `json:"role"`
	}
	err = bounded.DecodeJSON(response.Body, &reply)
	return reply.Role, errors.Wrap(err, "decode role")
}
