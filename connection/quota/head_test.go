package quota

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// heapOf returns the memory of what make returns, in bytes.
func heapOf(create func() any) int64 {
	const copies = 50
	kept := make([]any, copies)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range kept {
		kept[i] = create()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / copies
}

// parsed returns the header of a request as it is kept while the request is sent to a target: once
// for the request and once for the attempt.
func parsed(head string) func() any {
	return func() any {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			panic(err)
		}
		return []http.Header{r.Header, r.Header.Clone()}
	}
}

// Heads of legal size took up to 60 times their bytes, which was not counted.
func TestHead_CoversWhatParsingTakes(t *testing.T) {
	const line = "GET / HTTP/1.1\nHost: entry.example\n"
	fields := func(count int, format string) string {
		var text strings.Builder
		for i := range count {
			fmt.Fprintf(&text, format, i)
		}
		return line + text.String() + "\n"
	}
	for name, head := range map[string]string{
		"a few fields":       fields(12, "Field-Of-A-Caller-%d: some text of usual length\r\n"),
		"short fields":       fields(3000, "%x:\n"),
		"short names, text":  fields(1800, "%x:b\r\n"),
		"names of ten bytes": fields(1200, "name-%05d:\n"),
		"one name":           fields(2000, "a:%d\n"),
		"one long field":     line + "Long: " + strings.Repeat("a", 16_000) + "\n\n",
	} {
		var h Head
		cost, memory := h.Read([]byte(head), true), heapOf(parsed(head))
		t.Logf("%s: %d bytes, %d in memory, counted %d", name, len(head), memory, cost)
		assert.Check(t, cost+ConnectionBytes >= memory, name)
	}
}

// What is read of the next request with the body of one, or with its head, counts for the next.
func TestHead_CountsWhatIsReadAhead(t *testing.T) {
	var h Head
	assert.Equal(t, h.Reading(readAheadBytes, true), int64(0))
	first := h.Read([]byte("GET / HTTP/1.1\n\nGET / HTTP/1.1\na:\nb:\n"), true)
	assert.Assert(t, first > 5*FieldBytes)
	assert.Equal(t, h.Next(), 5*FieldBytes-first)
	// The rest of the second head is read while a part of it is in the buffer.
	assert.Equal(t, h.Reading(readAheadBytes-20, false), int64(0))
	h.Read([]byte("\n"), true)
	h.Next()
	// All has been read from the buffer.
	assert.Equal(t, h.Reading(readAheadBytes, true), -6*int64(FieldBytes))
	// The body of a request was read past the buffer.
	h.Read([]byte("POST / HTTP/1.1\n\n"), true)
	h.Reading(8*readAheadBytes, false)
	assert.Equal(t, h.Read(bytes.Repeat([]byte("a\n"), 5000), false), int64(0))
	h.Next()
	assert.Equal(t, h.counted, int64(0))
}

func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), uint16(7))
	f.Add([]byte("GET / HTTP/1.1\nHost: a\nb:\nc:1,2,3\n d\n\n"), uint16(1))
	f.Add([]byte("POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n1\na\n0\nb:\n\n"), uint16(100))
	f.Fuzz(func(t *testing.T, data []byte, split uint16) {
		var h Head
		total, counted := int64(0), int64(0)
		for rest := data; len(rest) > 0; {
			n := min(len(rest), 1+int(split))
			counted += h.Reading(readAheadBytes, total == 0)
			cost := h.Read(rest[:n], true)
			assert.Assert(t, cost >= int64(n))
			total += cost
			counted += cost
			rest = rest[n:]
		}
		assert.Equal(t, h.counted, counted)
		if r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data))); err == nil {
			values := 0
			for _, list := range r.Header {
				values += len(list)
			}
			assert.Assert(t, total >= int64(values)*FieldBytes, "%d fields, counted %d", values, total)
		}
		counted += h.Next()
		assert.Equal(t, h.counted, counted)
		assert.Assert(t, counted >= 0 && counted <= maxFieldsAhead*FieldBytes)
	})
}
