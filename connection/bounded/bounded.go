// Package bounded decodes JSON from responses of other processes within a limit of memory: a
// failing process may send bytes without end.
package bounded

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// MaxResponseBytes limits a decoded response. The largest are lists of the key-value service,
// whose values have up to a megabyte each.
const MaxResponseBytes = 16 << 20

// MaxHeadBytes limits the head of a response. The default of net/http is 10 MB, for each of the calls
// to a failing process.
const MaxHeadBytes = 64 << 10

// ErrTooLong means that a message exceeds its limit.
var ErrTooLong = errors.New("message exceeds the size limit")

// DecodeJSON decodes one JSON value from body into value. It reads MaxResponseBytes at most;
// the error of a longer body is an *http.MaxBytesError.
func DecodeJSON(body io.ReadCloser, value any) error {
	return errors.WithStack(json.NewDecoder(http.MaxBytesReader(nil, body, MaxResponseBytes)).Decode(value))
}

// Decoder decodes a series of JSON values, each within MaxResponseBytes.
type Decoder struct {
	decoder *json.Decoder
	reader  *reader
}

// NewDecoder returns a decoder of the values in r.
func NewDecoder(r io.Reader) *Decoder {
	limited := &reader{from: r}
	return &Decoder{decoder: json.NewDecoder(limited), reader: limited}
}

// Decode decodes the next value. The error is ErrTooLong if the value exceeds the limit.
func (d *Decoder) Decode(value any) error {
	d.reader.left = MaxResponseBytes
	return errors.WithStack(d.decoder.Decode(value))
}

// reader reads at most left bytes.
type reader struct {
	from io.Reader
	left int
}

// Read implements io.Reader.
func (r *reader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.from.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	return n, err //nolint:wrapcheck // io.Reader
}
