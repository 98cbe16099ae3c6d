// Package hopbyhop removes the header fields that apply to a single connection, which are never
// forwarded.
package hopbyhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

var fields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Remove removes the fields that always apply to a single connection.
func Remove(header http.Header) {
	for _, name := range fields {
		header.Del(name)
	}
}

// RemoveListed removes the fields that the Connection field lists.
func RemoveListed(header http.Header) {
	for value := range strings.SplitSeq(strings.Join(header.Values("Connection"), ","), ",") {
		if name := textproto.TrimString(value); name != "" {
			header.Del(name)
		}
	}
}
