package agent

import (
	"sync"
	"time"

	"github.com/mulberrylane/mulberrylane/connection/link"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/process/directory"
)

// directoryShard is the part of the soft directory that this agent stores.
type directoryShard struct {
	mu    sync.Mutex
	table *directory.Table
}

func newDirectoryShard() *directoryShard { return &directoryShard{table: directory.NewTable()} }

// serve handles one directory request.
func (d *directoryShard) serve(stream *link.Stream, req wire.DirectoryRequest) {
	reply := d.apply(time.Now(), req)
	if req.Lookup != nil {
		_ = stream.Write(wire.ServerFrame{LookupReply: &reply})
	}
	_ = stream.CloseWrite()
}

func (d *directoryShard) apply(now time.Time, req wire.DirectoryRequest) (reply wire.LookupReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if req.Put != nil {
		d.table.Put(now, *req.Put)
	}
	if req.Lookup == nil {
		return reply
	}
	if location, ok := d.table.Find(now, *req.Lookup); ok {
		reply.Location = &location
	}
	return reply
}
