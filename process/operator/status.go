package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mulberrylane/mulberrylane/outside/etcd"
	"github.com/mulberrylane/mulberrylane/process/gossip"
	"github.com/mulberrylane/mulberrylane/process/revision"
)

// staleAge is the age of the last confirmation from which a process counts as
// cut off from the newest configuration.
const staleAge = 3 * gossip.RefreshInterval

// Status is what a process tells operators of itself.
type Status struct {
	Process       string `json:"process"`
	Role          string `json:"role"`
	FailureDomain string `json:"failureDomain"`
	// Revision is in force since Since and came from Source, "store" or a process.
	Revision int64     `json:"revision"`
	Since    time.Time `json:"since"`
	Source   string    `json:"source"`
	// Confirmed says that Revision was ever known to be the newest, and
	// ConfirmedAgeSeconds how long ago.
	Confirmed           bool    `json:"confirmed"`
	ConfirmedAgeSeconds float64 `json:"confirmedAgeSeconds"`
	// Stale says that it has not been confirmed for too long, or never.
	Stale bool `json:"stale"`
	// WatchesStore says that this process watches the store.
	WatchesStore bool `json:"watches"`
	// StoreCalls counts its calls to the store.
	StoreCalls etcd.CallCounts `json:"storeCalls"`
	// Peers lists the processes it has links to or hears of.
	Peers []Peer `json:"peers"`
}

// Peer is what a process knows of another one.
type Peer struct {
	Process  string `json:"process"`
	Role     string `json:"role"`
	Revision int64  `json:"revision"`
	// Since is when the revision was first heard of; zero when it came from a third process.
	Since time.Time `json:"since,omitzero"`
	// Via names the process that tells of it, empty for the own links.
	Via string `json:"via,omitempty"`
}

// Identity names a process.
type Identity struct {
	Process       string
	Role          gossip.Role
	FailureDomain string
}

// HandleStatus registers the status of the process at /status.
func (s *Server) HandleStatus(status func() Status) {
	s.Handle("GET /status", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	}))
}

// NewStatus gathers the status of a process.
func NewStatus(who Identity, holder *revision.Active, view revision.View, calls etcd.CallCounts) Status {
	since, source := holder.Origin()
	age, known := holder.SinceConfirmed(time.Now())
	status := Status{
		Process:             who.Process,
		Role:                string(who.Role),
		FailureDomain:       who.FailureDomain,
		Revision:            int64(holder.Current().Revision),
		Since:               since,
		Source:              source,
		Confirmed:           known,
		ConfirmedAgeSeconds: age.Seconds(),
		Stale:               !known || age > staleAge,
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
