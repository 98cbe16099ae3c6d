package eventlog

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBlockedLogReader_DoesNotBlockEvents(t *testing.T) {
	reader, writer := io.Pipe()
	log := New(writer)
	start := time.Now()
	for i := range 50 * maxBufferedLines {
		log.Event("kind", "number", i)
	}
	for i := range 3 * maxBufferedLines {
		_, err := log.sink.Write([]byte(strings.Repeat("x", i%100)))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, log.sink.dropped.Load() > 0)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	log.Close()
}

// Lines that hold what callers sent filled the memory while nobody read the log.
func TestBlockedLogReader_LongLinesAreDropped(t *testing.T) {
	reader, writer := io.Pipe()
	log := New(writer)
	line := []byte(strings.Repeat("x", 16<<10))
	for range maxBufferedLines {
		_, err := log.sink.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, log.sink.buffered.Load() <= maxBufferedBytes)
	assert.Assert(t, log.sink.dropped.Load() >= maxBufferedLines-maxBufferedBytes/int64(len(line)))
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	log.Close()
	assert.Equal(t, log.sink.buffered.Load(), int64(0))
}

func TestEventsOverRateLimit_AreSuppressedAndCounted(t *testing.T) {
	var out strings.Builder
	log := New(&out)
	for range lineBurst + 50 {
		log.Event("often", "request", "r1")
	}
	log.Event("seldom", "request", "r2")
	time.Sleep(100 * time.Millisecond)
	log.Event("often", "request", "r3")
	log.Close()
	assert.Assert(t, strings.Contains(out.String(), `"seldom" request="r2"`))
	assert.Assert(t, strings.Contains(out.String(), "leftOut="))
	assert.Assert(t, strings.Count(out.String(), "\n") <= lineBurst+20)
}
