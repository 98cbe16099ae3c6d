// Package retryafter decodes the Retry-After field of responses.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Max replaces longer times.
const Max = 100 * 365 * 24 * time.Hour

// Decode returns the time that a response asks its client to wait; zero means that it has none.
//   - Seconds, whole or with a decimal fraction, are that long, and Max at most.
//   - Zero means at once, as if the field were missing.
//   - An HTTP date is as long as it lies after the Date of the same response, since the clocks
//     of hosts differ; without that field, or before it, it is ignored.
//   - Anything else is malformed and ignored: signs, exponents, units, lists, empty text.
func Decode(header http.Header) time.Duration {
	text := header.Get("Retry-After")
	if strings.Trim(text, "0123456789.") != "" {
		until, err := http.ParseTime(text)
		sent, dateErr := http.ParseTime(header.Get("Date"))
		if err != nil || dateErr != nil {
			return 0
		}
		return min(Max, max(0, until.Sub(sent)))
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	if seconds >= Max.Seconds() {
		return Max
	}
	return time.Duration(seconds * float64(time.Second))
}
