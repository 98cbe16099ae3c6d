package entry

import (
	"net/http"

	"go.uber.org/fx"

	"github.com/mulberrylane/mulberrylane/outside"
	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/outside/hostlist"
	"github.com/mulberrylane/mulberrylane/process/observe"
	"github.com/mulberrylane/mulberrylane/process/settings"
)

// Module assembles an entry from its settings, a settings.Entry. A program may
// replace any of the parts with fx.Decorate.
var Module = fx.Module("entry", fx.Provide(newStore, newHostList, newObserver, NewWith))

// Store is the key-value service together with counts of the calls made to it.
type Store interface {
	outside.Store
	CallCounts() etcd.CallCounts
}

// Dependencies holds the external services that an entry uses, and its observer.
type Dependencies struct {
	fx.In

	Store    Store
	Hosts    outside.HostList
	Observer *observe.Observer
}

// New returns an entry that uses the external services named in its settings. It
// serves nothing until Start is called.
func New(s settings.Entry) *Entry {
	return NewWith(s, Dependencies{Store: newStore(s), Hosts: newHostList(s), Observer: newObserver(s)})
}

func newStore(s settings.Entry) Store {
	return etcd.NewStore(s.Platform.StoreURLs, &http.Client{Timeout: platformTimeout})
}

func newHostList(s settings.Entry) outside.HostList {
	return hostlist.New(s.Platform.HostListURL, &http.Client{Timeout: platformTimeout})
}

func newObserver(s settings.Entry) *observe.Observer {
	return observe.New(s.Name, s.OperatorAddress, s.OperatorTokenDigests)
}
