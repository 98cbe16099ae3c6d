package agent

import (
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/process/directory"
)

// directoryPart is the agent's part of the soft directory.
type directoryPart struct {
	mu    sync.Mutex
	table *directory.Table
}

func newDirectoryPart() *directoryPart { return &directoryPart{table: directory.NewTable()} }

// serve answers one question to the directory.
func (d *directoryPart) serve(stream *link.Stream, ask wire.DirectoryRequest) {
	found := d.do(time.Now(), ask)
	if ask.Lookup != nil {
		_ = stream.Write(wire.ServerFrame{LookupReply: &found})
	}
	_ = stream.CloseWrite()
}

func (d *directoryPart) do(now time.Time, ask wire.DirectoryRequest) (found wire.LookupReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ask.Put != nil {
		d.table.Put(now, *ask.Put)
	}
	if ask.Lookup == nil {
		return found
	}
	if place, ok := d.table.Find(now, *ask.Lookup); ok {
		found.Location = &place
	}
	return found
}
