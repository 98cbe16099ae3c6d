package openai

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/outside"
)

type modelList struct {
	Data []modelEntry `json:"data"`
}

type modelEntry struct {
	ID string `json:"id"`
}

// Models implements outside.Engine.
func (e *Engine) Models(ctx context.Context) ([]string, error) {
	var list modelList
	if err := e.get(ctx, "/v1/models", &list); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(list.Data))
	for _, entry := range list.Data {
		names = append(names, entry.ID)
	}
	return names, nil
}

// Load implements outside.Engine.
func (e *Engine) Load(ctx context.Context) (outside.EngineLoad, error) {
	var load outside.EngineLoad
	err := e.get(ctx, "/load", &load)
	return load, err
}

func (e *Engine) get(ctx context.Context, path string, reply any) error {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+path, nil)
	if err != nil {
		return errors.Wrap(err, "create engine request")
	}
	response, err := e.do(httpRequest)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := bounded.DecodeJSON(response.Body, reply); err != nil {
		return fault.Wrap(fault.TargetLost, err, path)
	}
	return nil
}
