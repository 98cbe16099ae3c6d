// Package hostlist is the adapter to the platform's list of hosts, which is JSON over
// HTTP. If the server sends an entity tag (ETag), the list is transferred again only
// when it has changed.
package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mulberrylane/mulberrylane/connection/bounded"
	"github.com/mulberrylane/mulberrylane/outside"
)

// Client reads the host list. It is safe for concurrent use.
type Client struct {
	url    string
	client *http.Client

	mu          sync.Mutex
	etag        string
	lastTargets []outside.ListedTarget
}

// New returns the adapter to the list at url.
func New(url string, client *http.Client) *Client { return &Client{url: url, client: client} }

// Targets implements outside.HostList.
func (c *Client) Targets(ctx context.Context) ([]outside.ListedTarget, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create host list request")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		httpRequest.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return slices.Clone(c.lastTargets), nil
	case http.StatusOK:
		return c.readList(response)
	default:
		return nil, errors.Errorf("host list server responded with status %d", response.StatusCode)
	}
}

// readList decodes a list and stores it with its entity tag.
func (c *Client) readList(response *http.Response) ([]outside.ListedTarget, error) {
	var items []json.RawMessage
	if err := bounded.DecodeJSON(response.Body, &items); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	targets := make([]outside.ListedTarget, 0, len(items))
	for i, item := range items {
		var target outside.ListedTarget
		if json.Unmarshal(item, &target) != nil || target.Target == "" {
			klog.InfoS("an item of the host list is not a target", "index", i)
			continue
		}
		targets = append(targets, target)
	}
	c.etag = response.Header.Get("ETag")
	c.lastTargets = targets
	return slices.Clone(targets), nil
}
