package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/process/revision"
)

// staleThreshold is the age of the last confirmation above which the configuration of a
// process counts as stale.
const staleThreshold = 3 * gossip.RefreshInterval

// Status is the state that a process reports to operators.
type Status struct {
	Process       string `json:"process"`
	Role          string `json:"role"`
	FailureDomain string `json:"failureDomain"`
	// Revision has been active since Since and was received from Source, which is "store"
	// or a process.
	Revision int64     `json:"revision"`
	Since    time.Time `json:"since"`
	Source   string    `json:"source"`
	// Confirmed reports whether Revision was ever confirmed to be the newest, and
	// ConfirmedAgeSeconds how long ago it was last confirmed.
	Confirmed           bool    `json:"confirmed"`
	ConfirmedAgeSeconds float64 `json:"confirmedAgeSeconds"`
	// Stale reports whether the last confirmation is too old or there was none.
	Stale bool `json:"stale"`
	// WatchesStore reports whether this process watches the store.
	WatchesStore bool `json:"watches"`
	// StoreCalls counts the calls of this process to the store.
	StoreCalls etcd.CallCounts `json:"storeCalls"`
	// Peers lists the processes that this process has links to or knows of from others.
	Peers []Peer `json:"peers"`
}

// Peer is the state of another process as known to this one.
type Peer struct {
	Process  string `json:"process"`
	Role     string `json:"role"`
	Revision int64  `json:"revision"`
	// Since is when the peer first reported the revision; zero if Via reported it.
	Since time.Time `json:"since,omitzero"`
	// Via names the process that reported this peer; empty if there is a direct link.
	Via string `json:"via,omitempty"`
}

// Identity identifies a process.
type Identity struct {
	Process       string
	Role          gossip.Role
	FailureDomain string
}

// HandleStatus serves the status of the process at /status.
func (s *Server) HandleStatus(status func() Status) {
	s.Handle("GET /status", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	}))
}

// NewStatus assembles the status of a process.
func NewStatus(identity Identity, active *revision.Active, view revision.View, calls etcd.CallCounts) Status {
	since, source := active.Activation()
	age, confirmed := active.SinceConfirmed(time.Now())
	status := Status{
		Process:             identity.Process,
		Role:                string(identity.Role),
		FailureDomain:       identity.FailureDomain,
		Revision:            int64(active.Current().Revision),
		Since:               since,
		Source:              source,
		Confirmed:           confirmed,
		ConfirmedAgeSeconds: age.Seconds(),
		Stale:               !confirmed || age > staleThreshold,
		WatchesStore:        view.WatchesStore,
		StoreCalls:          calls,
		Peers:               []Peer{},
	}
	for _, peer := range view.Peers {
		status.Peers = append(status.Peers, Peer{
			Process: peer.Process, Role: string(peer.Role), Revision: peer.Revision, Since: peer.Since,
		})
		for _, other := range peer.Entries {
			status.Peers = append(status.Peers, Peer{
				Process: other.Process, Role: string(gossip.Entry), Revision: other.Revision, Via: peer.Process,
			})
		}
	}
	return status
}
