package hostile

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// requestLines begins the head of a request with a key and an attempt ID.
func requestLines(method, path string) string {
	return method + " " + path + " HTTP/1.1\nHost: " + testHost + "\nAttempt-Id: hostile\nKey: " + testKey + "\n"
}

// fieldNameBytes are bytes that names of header fields may have, without upper-case letters.
const fieldNameBytes = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

// shortFields returns header fields of size bytes at most, with different names of two or three
// bytes and no value.
func shortFields(size int) string {
	var fields strings.Builder
	for _, prefix := range []string{"", "a", "b", "c"} {
		for _, first := range fieldNameBytes {
			for _, second := range fieldNameBytes {
				if field := prefix + string(first) + string(second) + ":\n"; fields.Len()+len(field) <= size {
					fields.WriteString(field)
				}
			}
		}
	}
	return fields.String()
}

// fullHead returns a head of at most 16,384 bytes of very many short fields.
func fullHead(method, path, last string) string {
	lines := requestLines(method, path)
	return lines + shortFields(16384-len(lines)-len(last)-1) + last + "\n"
}

// endlessHead sends a head of short fields that never ends.
func endlessHead(path string) func(net.Conn) error {
	return func(conn net.Conn) error {
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\nHost: %s\n", path, testHost); err != nil {
			return err
		}
		const chunks, fields = 100, 700
		for chunk := range chunks {
			var data strings.Builder
			for field := range fields {
				fmt.Fprintf(&data, "%x:\n", chunk*fields+field)
			}
			if _, err := conn.Write([]byte(data.String())); err != nil {
				return err
			}
		}
		return nil
	}
}

// shortBody sends a body that stops one byte before its end.
func shortBody(path string, size int) func(net.Conn) error {
	return text(requestLines("POST", path), fmt.Sprintf("Content-Length: %d\n\n", size), strings.Repeat("a", size-1))
}

// inPieces sends a text in pieces of some hundred bytes.
func inPieces(data string) func(net.Conn) error {
	return func(conn net.Conn) error {
		const pieceBytes = 500
		for piece := range slices.Chunk([]byte(data), pieceBytes) {
			if _, err := conn.Write(piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// smallChunks sends a body in chunks of one byte, without the last one.
func smallChunks(path string, count int) func(net.Conn) error {
	return text(requestLines("POST", path), "Transfer-Encoding: chunked\n\n", strings.Repeat("1\r\na\r\n", count))
}
