package placement

import (
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/request"
)

const (
	// maxIDBytes and maxNameBytes limit the ID of a target and the names of its service and
	// failure domain.
	maxIDBytes   = 200
	maxNameBytes = 200
	// maxSlots limits the requests that a target may say it runs concurrently.
	maxSlots = 1 << 16
)

// Registration holds the data that a target registers in the store.
type Registration struct {
	request.Endpoint
	Service       string
	FailureDomain string
	// Version is the version that the target runs, or "" if it is unknown.
	Version string
	Slots   int
	// Draining targets take no new work.
	Draining bool
	// Incarnation identifies one run of the target; a restart loses all its state.
	Incarnation request.Incarnation
	// Sequence counts the registrations of the incarnation, zero if it is unknown.
	Sequence int64
	// AssumedIncarnation is set if the target did not tell its incarnation and is not
	// registered in the store yet.
	AssumedIncarnation bool
}

// Normalize validates a registration and brings its address into the canonical form. An error
// means that it names no target to use. Errors do not quote what may be long.
func (r *Registration) Normalize() error {
	switch {
	case !isID(string(r.ID)):
		return errors.Errorf("the target id is not 1 to %d visible ASCII characters", maxIDBytes)
	case r.Service == "" || !isName(r.Service):
		return errors.Errorf("the service is not a name of 1 to %d bytes", maxNameBytes)
	case !isName(r.FailureDomain):
		return errors.Errorf("the failure domain is not a name of at most %d bytes", maxNameBytes)
	case r.Slots < 1 || r.Slots > maxSlots:
		return errors.Errorf("%d slots are not from 1 to %d", r.Slots, maxSlots)
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return errors.New("the address is not the IP address of one host and a port from 1 to 65535")
	}
	r.Address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String()
	return nil
}

// isID reports whether text may be the ID of a target, which is sent in headers.
func isID(text string) bool {
	visible := func(r rune) bool { return r > ' ' && r < unicode.MaxASCII }
	return text != "" && len(text) <= maxIDBytes && !strings.ContainsFunc(text, func(r rune) bool { return !visible(r) })
}

// isName reports whether text may name a service or failure domain.
func isName(text string) bool {
	return len(text) <= maxNameBytes && utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}
