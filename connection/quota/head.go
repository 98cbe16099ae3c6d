package quota

import "bytes"

const (
	// ConnectionBytes is the memory of a connection without a request: its goroutine and its
	// buffers. 1,600 half heads took 16 KiB each.
	ConnectionBytes = 16 << 10
	// FieldBytes is the memory of a header field beside its text. A parsed field is an entry in a
	// map and its list of values, and it is kept twice while the request is sent to a target.
	FieldBytes = 256
	// PartBytes is the memory of an item of a list in a field, such as a part of a prompt.
	PartBytes = 96
	// textCopies is how often the text of a head is kept: in the buffer of the connection, which
	// grows with a long line, and in the fields.
	textCopies = 2
	// readAheadBytes is the size of the buffer in which the server keeps what it has read.
	readAheadBytes = 4 << 10
	// minFieldBytes is the size of the shortest field: a name of one byte, the colon and the end
	// of the line.
	minFieldBytes = 3
	// maxFieldsAhead is how many fields fit in the buffer.
	maxFieldsAhead = readAheadBytes / minFieldBytes
)

// Head estimates the memory of the head of a request from its bytes, before it is parsed: each
// line may be a field, and each comma may separate the items of a list. The zero value is ready
// for use.
type Head struct {
	// counted is the cost of the head so far.
	counted int64
	// ahead is the cost of the fields that may be in the buffer of the server. direct is set while
	// it reads past that buffer.
	ahead  int64
	direct bool
}

// Reading records that the server asks for size bytes: less than its buffer holds while a part of
// what it has read is left in it, and more if it reads past the buffer. It returns by how much what
// is counted changes; between is set if no request has begun.
func (h *Head) Reading(size int, between bool) int64 {
	h.direct = size > readAheadBytes
	if size < readAheadBytes {
		return 0
	}
	h.ahead = 0
	if !between {
		return 0
	}
	change := -h.counted
	h.counted = 0
	return change
}

// Read returns what data adds to the head that is being received. ofHead is false while the body
// of a request is received, of which the head of the next one may be a part.
func (h *Head) Read(data []byte, ofHead bool) int64 {
	fields := FieldBytes * int64(bytes.Count(data, []byte{'\n'}))
	if bytes.IndexByte(data, ',') >= 0 {
		fields += PartBytes * int64(bytes.Count(data, []byte{','}))
	}
	if !h.direct {
		h.ahead = min(h.ahead+fields, maxFieldsAhead*FieldBytes)
	}
	if !ofHead {
		return 0
	}
	cost := fields + textCopies*int64(len(data))
	h.counted += cost
	return cost
}

// Next begins the head of the next request, and returns by how much what is counted changes: what
// was read ahead may be a part of it.
func (h *Head) Next() int64 {
	change := h.ahead - h.counted
	h.counted = h.ahead
	return change
}

// End ends the request without another one, and returns by how much what is counted changes.
func (h *Head) End() int64 {
	change := -h.counted
	h.counted, h.ahead = 0, 0
	return change
}
