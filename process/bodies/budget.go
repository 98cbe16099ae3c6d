// Package bodies decides which bodies of requests and responses a process keeps in memory. It does
// no I/O and reads no clock.
//
// Failing targets may send bodies without end, many at the same time, and slow callers keep the
// process from giving memory back. The largest body that is still being received yields then, so
// that others go on; those that are whole are kept until they have been sent.
package bodies

// Budget limits the memory of all bodies. It is not safe for concurrent use.
type Budget struct {
	limit int64
	// used is the memory of all bodies, yielding that of those that have to be released, in
	// bytes.
	used, yielding int64
	receiving      map[*Body]struct{}
}

// Body is one body.
type Body struct {
	bytes   int64
	yielded bool
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, receiving: map[*Body]struct{}{}}
}

// Used returns the memory of all bodies in bytes, which is never more than the limit.
func (b *Budget) Used() int64 { return b.used }

// Grant says whether a body may grow.
type Grant int

// Results of Add.
const (
	// Granted means that the body may grow.
	Granted Grant = iota
	// Wait means that it may be asked again once another body has been released.
	Wait
	// Yield means that the body has to be released.
	Yield
)

// Add asks for n more bytes for a body that is being received. If another body has to yield for
// it, that one is returned as well.
func (b *Budget) Add(body *Body, n int64) (Grant, *Body) {
	if body.yielded {
		return Yield, nil
	}
	b.receiving[body] = struct{}{}
	if b.used+n <= b.limit {
		body.bytes += n
		b.used += n
		return Granted, nil
	}
	if b.used-b.yielding+n <= b.limit {
		return Wait, nil
	}
	largest := b.largest()
	if largest.bytes <= body.bytes+n {
		largest = body
	}
	largest.yielded = true
	b.yielding += largest.bytes
	delete(b.receiving, largest)
	if largest == body {
		return Yield, nil
	}
	return Wait, largest
}

// largest returns the largest body that is being received; there is one.
func (b *Budget) largest() *Body {
	var largest *Body
	for body := range b.receiving {
		if largest == nil || body.bytes > largest.bytes {
			largest = body
		}
	}
	return largest
}

// Received records that a body is whole, and reports whether it may be kept.
func (b *Budget) Received(body *Body) bool {
	delete(b.receiving, body)
	return !body.yielded
}

// Release records that a body is no longer in memory.
func (b *Budget) Release(body *Body) {
	delete(b.receiving, body)
	b.used -= body.bytes
	if body.yielded {
		b.yielding -= body.bytes
	}
	*body = Body{}
}
