package kv

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A write that is late must be executed later, and only if its conditions hold then; one whose answer
// is lost must be executed, and writes of other keys must not be affected.
func TestWriteTurns(t *testing.T) {
	const lateness = 500 * time.Millisecond
	s := New()
	s.RecordChanges("")
	server := httptest.NewServer(s.PlatformHandler())
	defer server.Close()
	commit := func(key string) error {
		body := `{"ExpectedRevision":[{"Key":"` + key + `","Revision":0}],"Writes":[{"Key":"` + key + `","Value":"YQ=="}]}`
		response, err := http.Post(server.URL+"/v1/kv-txn", "application/json", strings.NewReader(body))
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	s.SetFaults(Faults{WriteTurns: []WriteFault{WriteLate, WriteLate, WriteLost, AnswerLost, WriteSound}, WriteLateness: lateness, OnlyKeys: "late/"})
	assert.NilError(t, commit("other"))
	assert.Assert(t, commit("late/a") != nil)
	assert.Assert(t, commit("late/b") != nil)
	s.Put("late/b", []byte("b"))
	assert.Equal(t, len(s.Changes("late/a")), 0)
	for deadline := time.Now().Add(5 * time.Second); len(s.Changes("late/a")) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	time.Sleep(lateness)
	assert.Equal(t, len(s.Changes("late/a")), 1)
	changes := s.Changes("late/b")
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, string(changes[0].Value), "b")
	assert.Equal(t, len(s.Changes("other")), 1)
	assert.Assert(t, commit("late/lost") != nil)
	assert.Equal(t, len(s.Changes("late/lost")), 0)
	assert.Assert(t, commit("late/applied") != nil)
	assert.Equal(t, len(s.Changes("late/applied")), 1)
	assert.NilError(t, commit("late/sound"))
	s.Compact(s.Revision())
	assert.Equal(t, len(s.Changes("")), 5, "%v", s.Changes(""))
}
