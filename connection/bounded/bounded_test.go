package bounded

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// endless is a body that begins a JSON string and never ends it.
type endless struct{ read int }

func (e *endless) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'a'
	}
	if e.read == 0 {
		buffer[0] = '"'
	}
	e.read += len(buffer)
	return len(buffer), nil
}

func TestDecodeJSON_EndlessBody(t *testing.T) {
	body := &endless{}
	var value string
	err := DecodeJSON(io.NopCloser(body), &value)
	var tooLong *http.MaxBytesError
	assert.Assert(t, errors.As(err, &tooLong), "%v", err)
	assert.Assert(t, body.read <= 2*MaxResponseBytes)
}

func TestDecoder_LimitsEachValue(t *testing.T) {
	values := strings.Repeat(`"`+strings.Repeat("b", MaxResponseBytes/4)+`"`, 6)
	d := NewDecoder(io.MultiReader(strings.NewReader(values), &endless{}))
	var value string
	for range 6 {
		assert.NilError(t, d.Decode(&value))
	}
	assert.ErrorIs(t, d.Decode(&value), ErrTooLong)
}
