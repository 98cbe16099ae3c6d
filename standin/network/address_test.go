package network_test

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/standin/network"
)

// A process that is being started holds a copy of each open socket for a moment.
func TestFreeAddress_IsFreeWhileProcessesStart(t *testing.T) {
	path, err := exec.LookPath("true")
	assert.NilError(t, err)
	done := make(chan struct{})
	var starters sync.WaitGroup
	defer starters.Wait()
	defer close(done)
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command(path).Run()
				}
			}
		})
	}
	for range 1000 {
		// No other process connects from this address and takes the port by that.
		address, err := network.FreeAddress("127.77.0.1:0")
		assert.NilError(t, err)
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
	}
}

func TestFreeAddress_AddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.77.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	_, err = network.FreeAddress(listener.Addr().String())
	assert.ErrorContains(t, err, "address already in use")
	_, err = network.FreeAddress("[::1]:0")
	assert.ErrorContains(t, err, "not IPv4")
}
