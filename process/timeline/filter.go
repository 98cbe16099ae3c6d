package timeline

import (
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

// Filter selects events. A zero field does not restrict the selection.
type Filter struct {
	Request  request.ID
	Target   request.TargetID
	Revision int64
	// Since selects events at or after this time.
	Since time.Time
}

// Matches reports whether the filter selects event.
func (f Filter) Matches(event Event) bool {
	switch {
	case f.Request != "" && event.Request != f.Request:
		return false
	case f.Target != "" && event.Target != f.Target:
		return false
	case f.Revision != 0 && event.Revision != f.Revision:
		return false
	case !f.Since.IsZero() && event.Timestamp < physicalTimestamp(f.Since):
		return false
	default:
		return true
	}
}

// Query returns the filter as URL query parameters.
func (f Filter) Query() url.Values {
	query := url.Values{}
	if f.Request != "" {
		query.Set("request", string(f.Request))
	}
	if f.Target != "" {
		query.Set("target", string(f.Target))
	}
	if f.Revision != 0 {
		query.Set("revision", strconv.FormatInt(f.Revision, 10))
	}
	if !f.Since.IsZero() {
		query.Set("since", f.Since.Format(time.RFC3339Nano))
	}
	return query
}

// ParseFilter reads a filter from URL query parameters. Errors name the invalid parameter.
func ParseFilter(query url.Values) (Filter, error) {
	f := Filter{
		Request: request.ID(query.Get("request")),
		Target:  request.TargetID(query.Get("target")),
	}
	var err error
	if text := query.Get("revision"); text != "" {
		if f.Revision, err = strconv.ParseInt(text, 10, 64); err != nil {
			return f, errors.Errorf("revision: %q is not a number", text)
		}
	}
	if text := query.Get("since"); text != "" {
		if f.Since, err = time.Parse(time.RFC3339Nano, text); err != nil {
			return f, errors.Errorf("since: %q is not a time such as 2026-01-02T15:04:05Z", text)
		}
	}
	return f, nil
}
