// Package hostlist is the adapter to the platform's list of hosts, read as JSON
// over HTTP. A list that names its state by an entity tag is read in full only
// when it has changed.
package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/outside"
)

// Client reads the host list. It is safe for concurrent use.
type Client struct {
	url    string
	client *http.Client

	mu   sync.Mutex
	tag  string
	last []outside.ListedTarget
}

// New returns the adapter to the list at url.
func New(url string, client *http.Client) *Client { return &Client{url: url, client: client} }

// Targets implements outside.HostList.
func (c *Client) Targets(ctx context.Context) ([]outside.ListedTarget, error) {
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tag != "" {
		ask.Header.Set("If-None-Match", c.tag)
	}
	response, err := c.client.Do(ask)
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return slices.Clone(c.last), nil
	case http.StatusOK:
		return c.take(response)
	default:
		return nil, errors.Errorf("host list: status %d", response.StatusCode)
	}
}

// take reads a whole list and keeps it with its tag.
func (c *Client) take(response *http.Response) ([]outside.ListedTarget, error) {
	var placements []outside.ListedTarget
	if err := json.NewDecoder(response.Body).Decode(&placements); err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	c.tag = response.Header.Get("ETag")
	c.last = placements
	return slices.Clone(placements), nil
}
