package target

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// A target in trouble sends a status that is none. Callers got 600 as it was.
func TestConn_StatusThatIsNoneIsNoResponse(t *testing.T) {
	for _, status := range []int{0, 1, 99, 600, 601, 999} {
		address := serve(t, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d Odd\r\nContent-Length: 2\r\n\r\nok", status)
		})
		_, err := read(t, address, http.MethodGet, nil, 0)
		assert.Assert(t, errors.Is(err, ErrStatus), "status %d: %v", status, err)
	}
	for _, status := range []int{200, 299, 404, 599} {
		address := serve(t, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 %03d Odd\r\nContent-Length: 2\r\n\r\nok", status)
		})
		text, err := read(t, address, http.MethodGet, nil, 0)
		assert.NilError(t, err)
		assert.Equal(t, text, "ok")
	}
}
