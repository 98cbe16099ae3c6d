package eventstream

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestReader_ReturnsOnlyCompleteEvents(t *testing.T) {
	reader := NewReader(strings.NewReader("id: 3\ndata: a\n\nweight-versions: 2\nid: 4\ndata: b\r\n\r\nid: 5\ndata: to"))
	for _, want := range []int{3, 4} {
		event, err := reader.Next()
		assert.NilError(t, err)
		assert.Equal(t, event.ID, want)
	}
	_, err := reader.Next()
	assert.Assert(t, err != nil && !IsEndOfStream(err), "a truncated event was taken for the end of the stream")
	_, err = NewReader(strings.NewReader("")).Next()
	assert.Assert(t, IsEndOfStream(err))
	_, err = NewReader(strings.NewReader("data: nameless\n\n")).Next()
	assert.ErrorContains(t, err, "no id")
	assert.Assert(t, !IsEndOfStream(errors.WithStack(io.ErrUnexpectedEOF)))
}

// FuzzReader checks that each event of a stream ends within its size limit.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("id: x\n\n")
	f.Add(":\n\n")
	f.Fuzz(func(t *testing.T, data string) {
		reader := NewReader(strings.NewReader(data))
		for range len(data) + 1 {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if len(event.Raw) > maxEventBytes || event.ID < 0 {
				t.Fatalf("event of %d bytes with ID %d", len(event.Raw), event.ID)
			}
		}
		t.Fatal("the stream did not end")
	})
}
