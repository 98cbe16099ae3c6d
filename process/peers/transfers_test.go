package peers

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/storesync"
)

// document returns a text of lines that have little in common.
func document(lines int) []byte {
	random := rand.New(rand.NewPCG(1, uint64(lines)))
	var b bytes.Buffer
	for range lines {
		_, _ = fmt.Fprintf(&b, `{"Name":"%016x","Host":"%08x.example","Service":"bookings","TimeoutMs":5000}`, random.Uint64(), random.Uint32())
	}
	return b.Bytes()
}

func equal(a, b []storesync.Change) bool {
	return slices.EqualFunc(a, b, func(x, y storesync.Change) bool {
		return x.Key == y.Key && bytes.Equal(x.Value, y.Value) && x.Revision == y.Revision && x.Removed == y.Removed
	})
}

// A small change of a large value costs what is new, not what is there.
func TestPackChanges_CostsWhatIsNew(t *testing.T) {
	known := document(3000)
	value := append(bytes.Clone(known), `{"Name":"new"}`...)
	changes := []storesync.Change{{Key: "configuration", Value: value, Revision: 7}, {Key: "target", Revision: 8, Removed: true}}
	packed, err := PackChanges(changes, known)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < 1000, "%d bytes", len(packed))
	unpacked, err := UnpackChanges(packed, known)
	assert.NilError(t, err)
	assert.Assert(t, equal(unpacked, changes))
	whole, err := PackChanges(changes, nil)
	assert.NilError(t, err)
	unpacked, err = UnpackChanges(whole, nil)
	assert.NilError(t, err)
	assert.Assert(t, equal(unpacked, changes))
	t.Logf("%d bytes: %d packed, %d with the value before as a dictionary", len(value), len(whole), len(packed))
}

// What another process sends may be anything, and may unpack to far more than it is.
func TestUnpackChanges_FaultyInput(t *testing.T) {
	changes := []storesync.Change{{Key: "k", Value: make([]byte, 64<<20)}}
	bomb, err := PackChanges(changes, nil)
	assert.NilError(t, err)
	assert.Assert(t, len(bomb) < 1<<20)
	withDictionary, err := PackChanges([]storesync.Change{{Key: "k", Value: document(100)}}, document(100))
	assert.NilError(t, err)
	for name, packed := range map[string][]byte{
		"no frame": []byte("text"), "bomb": bomb, "cut": withDictionary[:len(withDictionary)/2], "another dictionary": withDictionary,
	} {
		_, err := UnpackChanges(packed, []byte("another dictionary"))
		assert.Assert(t, err != nil, name)
	}
}

func TestTransfers_AnswersTooLongForADatagram(t *testing.T) {
	asking, answering := listen(t), listen(t)
	value := document(20_000)
	go func() {
		_ = answering.ServeTransfers(func(u Update) (Update, bool) {
			if u.Question.ID == 0 {
				return Update{}, false
			}
			answer := &SyncAnswer{ID: u.Question.ID}
			answer.Changes = []storesync.Change{{Key: "configuration", Value: value, Revision: 7}}
			return Update{Entry: "entry-2", Answer: answer}, true
		})
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := asking.Ask(ctx, answering.Address(), Update{Entry: "entry-1", Question: &SyncQuestion{ID: 3}})
	assert.NilError(t, err)
	assert.Equal(t, answer.Answer.ID, uint64(3))
	assert.Assert(t, bytes.Equal(answer.Answer.Changes[0].Value, value))
	_, err = asking.Ask(ctx, answering.Address(), Update{Entry: "entry-1", Question: &SyncQuestion{}})
	assert.ErrorContains(t, err, "status 400")
	// A stranger that connects and says nothing, or something else, keeps nobody else from asking.
	for range 2 * maxTransferConnections {
		conn, err := net.Dial("tcp", answering.Address())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	ctx, cancel = context.WithTimeout(context.Background(), 3*questionReadTimeout)
	defer cancel()
	_, err = asking.Ask(ctx, answering.Address(), Update{Entry: "entry-1", Question: &SyncQuestion{ID: 4}})
	assert.NilError(t, err)
}
