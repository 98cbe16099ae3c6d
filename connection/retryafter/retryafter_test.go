package retryafter

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecode(t *testing.T) {
	const date = "Sat, 05 Dec 2026 00:00:10 GMT"
	for _, c := range []struct {
		text string
		want time.Duration
	}{
		{"2", 2 * time.Second},
		{"0.25", 250 * time.Millisecond},
		{"1.5", 1500 * time.Millisecond},
		{".5", 500 * time.Millisecond},
		{"3.", 3 * time.Second},
		{"007", 7 * time.Second},
		{"86400", 24 * time.Hour},
		{"99999999999999999999", Max},
		{strings.Repeat("9", 400), Max},
		{"0", 0},
		{"0.0", 0},
		{"-1", 0},
		{"+1", 0},
		{"", 0},
		{".", 0},
		{"1.2.3", 0},
		{"1e3", 0},
		{"0x10", 0},
		{"1_000", 0},
		{"Inf", 0},
		{"NaN", 0},
		{"1,5", 0},
		{"5 s", 0},
		{"soon", 0},
		{"Sat, 05 Dec 2026 00:00:13 GMT", 3 * time.Second},
		{"Sat, 05 Dec 2026 00:00:07 GMT", 0},
		{"Sat, 05 Dec 2026", 0},
	} {
		header := http.Header{"Retry-After": {c.text}, "Date": {date}}
		assert.Equal(t, Decode(header), c.want, c.text)
	}
	assert.Equal(t, Decode(http.Header{}), time.Duration(0))
	undated := http.Header{"Retry-After": {"Sat, 05 Dec 2026 00:00:13 GMT"}}
	assert.Equal(t, Decode(undated), time.Duration(0))
}
