package placement

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/request"
)

func soundRegistration() Registration {
	return Registration{
		Endpoint: request.Endpoint{ID: "i-1", Address: "10.0.0.1:8080"}, Service: "s", FailureDomain: "naxos", Slots: 8, Incarnation: 5,
	}
}

func TestNormalize_OddRegistrationNamesNoTarget(t *testing.T) {
	long := strings.Repeat("z", 1<<20)
	for name, change := range map[string]func(r *Registration){
		"no id":               func(r *Registration) { r.ID = "" },
		"id with space":       func(r *Registration) { r.ID = "a b" },
		"id with line":        func(r *Registration) { r.ID = "a\r\nB: c" },
		"id with NUL":         func(r *Registration) { r.ID = "a\x00" },
		"id beyond ASCII":     func(r *Registration) { r.ID = "ü" },
		"long id":             func(r *Registration) { r.ID = request.TargetID(long) },
		"no service":          func(r *Registration) { r.Service = "" },
		"service with NUL":    func(r *Registration) { r.Service = "s\x00" },
		"long service":        func(r *Registration) { r.Service = long },
		"domain with line":    func(r *Registration) { r.FailureDomain = "a\nb" },
		"domain of no text":   func(r *Registration) { r.FailureDomain = "\xff" },
		"long domain":         func(r *Registration) { r.FailureDomain = long },
		"port too large":      func(r *Registration) { r.Address = "10.0.0.1:70000" },
		"port 0":              func(r *Registration) { r.Address = "10.0.0.1:0" },
		"negative port":       func(r *Registration) { r.Address = "10.0.0.1:-4" },
		"named port":          func(r *Registration) { r.Address = "10.0.0.1:http" },
		"port of many digits": func(r *Registration) { r.Address = "10.0.0.1:" + strings.Repeat("1", 1<<20) },
		"no port":             func(r *Registration) { r.Address = "10.0.0.1" },
		"no address":          func(r *Registration) { r.Address = "" },
		"host name":           func(r *Registration) { r.Address = "host:80" },
		"no host":             func(r *Registration) { r.Address = ":80" },
		"any host":            func(r *Registration) { r.Address = "0.0.0.0:80" },
		"many hosts":          func(r *Registration) { r.Address = "224.0.0.1:80" },
		"no slots":            func(r *Registration) { r.Slots = 0 },
		"negative slots":      func(r *Registration) { r.Slots = -7 },
		"slots of a million":  func(r *Registration) { r.Slots = 1000000 },
		"slots of 64 bits":    func(r *Registration) { r.Slots = 1<<63 - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			r := soundRegistration()
			change(&r)
			err := r.Normalize()
			assert.Assert(t, err != nil)
			assert.Assert(t, len(err.Error()) < 200)
		})
	}
}

func TestNormalize_UnusualRegistrationNamesItsTarget(t *testing.T) {
	for address, want := range map[string]string{
		"10.0.0.1:8080": "10.0.0.1:8080", "10.0.0.1:0080": "10.0.0.1:80", "10.0.0.1:65535": "10.0.0.1:65535", "10.0.0.1:1": "10.0.0.1:1",
		"[FD00::01]:8080": "[fd00::1]:8080", "[::ffff:10.0.0.1]:8080": "10.0.0.1:8080", "127.0.0.1:8080": "127.0.0.1:8080",
	} {
		r := soundRegistration()
		r.Address = address
		assert.NilError(t, r.Normalize())
		assert.Equal(t, r.Address, want)
	}
	r := soundRegistration()
	r.FailureDomain, r.Service, r.Slots, r.Incarnation = "", strings.Repeat("Νάξος", 20), 1, 0
	assert.NilError(t, r.Normalize())
	r.FailureDomain, r.Slots = "Νάξος 1", 65536
	assert.NilError(t, r.Normalize())
}

func TestRegister_UndeclaredServiceReplacesNoTarget(t *testing.T) {
	table := NewTable()
	sound := soundRegistration()
	table.Register(sound)
	table.SetServices([]string{"s", "later"})
	odd := sound
	odd.ID, odd.Service, odd.Incarnation = "x", "undeclared", sound.Incarnation+1
	assert.Assert(t, table.Register(odd) == nil)
	assert.Assert(t, !table.Get(sound.ID).Down(start))
	assert.Equal(t, table.TargetAt(sound.Address).ID, sound.ID)
	removed := odd
	removed.ID, removed.Address = "y", "10.0.0.2:1"
	assert.Assert(t, table.Register(removed) == nil)
	table.Remove(removed.ID)
	table.SetServices([]string{"s", "undeclared"})
	assert.Equal(t, table.TargetAt(sound.Address).ID, odd.ID)
	assert.Equal(t, table.Len(), 2)
}

func TestRegister_TargetThatMovesToUndeclaredServiceGetsNoWorkThere(t *testing.T) {
	table := NewTable()
	table.SetServices([]string{"s"})
	sound := soundRegistration()
	table.Register(sound)
	moved := sound
	moved.Service = "undeclared"
	assert.Assert(t, table.Register(moved) == nil)
	assert.Assert(t, table.Get(sound.ID).IsDraining())
	table.Register(sound)
	assert.Assert(t, !table.Get(sound.ID).IsDraining())
	table.SetServices([]string{"s", "undeclared"})
	assert.Equal(t, table.Get(sound.ID).Service, "s")
}
