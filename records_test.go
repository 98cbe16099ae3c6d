package mulberrylane_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/bench/report"
	"github.com/mulberrylane/mulberrylane/connection/wire"
	"github.com/mulberrylane/mulberrylane/process/callpage"
	"github.com/mulberrylane/mulberrylane/process/gateway"
	"github.com/mulberrylane/mulberrylane/process/operator"
	"github.com/mulberrylane/mulberrylane/process/peers"
	"github.com/mulberrylane/mulberrylane/process/settings"
	"github.com/mulberrylane/mulberrylane/process/timeline"
	"github.com/mulberrylane/mulberrylane/version"
)

// The files in testdata/records were written by the build of commit 6bb7fae, with a value
// in every field but those listed as unset, and with distinct texts and numbers;
// peers-quarantine-update.cbor, peers-runs-update.cbor, peers-speeds-update.cbor, peers-era-*.cbor and
// peers-packed-*.cbor and peers-origins-update.cbor by the builds that brought their fields.

// record is a file and the type that it is decoded as.
type record struct {
	file string
	// value points to the decoded value.
	value any
	// unset lists the fields that the file does not have.
	unset []string
}

func readRecord(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "records", file))
	assert.NilError(t, err)
	return data
}

// zeroFields returns the paths of the exported fields in value that are zero.
func zeroFields(path string, value reflect.Value) []string {
	var zero []string
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			return zeroFields(path, value.Elem())
		}
	case reflect.Slice, reflect.Map:
		for _, item := range value.Seq2() {
			zero = append(zero, zeroFields(path, item)...)
		}
	case reflect.Struct:
		for field, item := range value.Fields() {
			if field.IsExported() {
				zero = append(zero, zeroFields(path+"."+field.Name, item)...)
			}
		}
	}
	if value.IsZero() {
		zero = append(zero, path)
	}
	return zero
}

func checkFields(t *testing.T, r record) {
	t.Helper()
	assert.DeepEqual(t, zeroFields("", reflect.ValueOf(r.value)), r.unset)
}

// A renamed field or tag must not change the frames that processes of different builds
// exchange.
func TestFrames_OfEarlierBuild(t *testing.T) {
	for _, r := range []record{
		{file: "wire-client-frame.cbor", value: &wire.ClientFrame{}},
		{file: "wire-server-frame.cbor", value: &wire.ServerFrame{}},
		{file: "wire-control-frame.cbor", value: &wire.ControlFrame{}},
	} {
		t.Run(r.file, func(t *testing.T) {
			data := readRecord(t, r.file)
			assert.NilError(t, wire.NewReader(bytes.NewReader(data)).Read(r.value))
			checkFields(t, r)
			var encoded bytes.Buffer
			assert.NilError(t, wire.NewWriter(&encoded).Write(r.value))
			assert.DeepEqual(t, encoded.Bytes(), data)
		})
	}
}

// zeroUpdateFields are the fields that are not set in a message about the store.
var zeroUpdateFields = []string{
	".Full", ".LinkMbps", ".Incarnation", ".Sequence", ".Work", ".Usage", ".CallsInFlight", ".Down", ".Replaced", ".Successors",
	".Draining", ".CachedPrompts", ".FailureRates", ".Speeds", ".Deferred", ".Ready", ".SessionCopies", ".Runs", ".AmbiguousRuns", ".Origins", ".Crashes", ".Survivals", ".Quarantined",
	".Rollouts",
}

// A renamed field or tag must not change the datagrams that entries of different builds
// exchange.
func TestPeerUpdates_OfEarlierBuild(t *testing.T) {
	for _, r := range []record{
		{file: "peers-update.cbor", value: &peers.Update{}, unset: []string{
			".CallsInFlight", ".Draining", ".Speeds", ".Deferred", ".Runs", ".AmbiguousRuns", ".Origins", ".Crashes", ".Survivals", ".Quarantined", ".Rollouts", ".Question", ".Answer",
		}},
		{file: "peers-quarantine-update.cbor", value: &peers.Update{}, unset: []string{
			".Partial", ".LinkMbps", ".Work", ".Usage", ".CallsInFlight", ".Down", ".Replaced", ".Successors", ".CachedPrompts",
			".FailureRates", ".Speeds", ".Deferred", ".Ready", ".SessionCopies", ".Runs", ".AmbiguousRuns", ".Origins", ".Rollouts", ".Question", ".Answer",
		}},
		{file: "peers-brief-update.cbor", value: &peers.Update{}, unset: []string{
			".Full", ".LinkMbps", ".Usage", ".CallsInFlight", ".Down", ".Replaced", ".Successors", ".Draining",
			".CachedPrompts", ".FailureRates", ".Speeds", ".Deferred", ".Ready", ".SessionCopies", ".Runs", ".AmbiguousRuns", ".Origins", ".Crashes", ".Survivals", ".Quarantined",
			".Rollouts", ".Question", ".Answer",
		}},
		{file: "peers-runs-update.cbor", value: &peers.Update{}, unset: []string{
			".Partial", ".LinkMbps", ".Work", ".Usage", ".CallsInFlight", ".Down", ".Replaced", ".Successors", ".Draining", ".CachedPrompts",
			".FailureRates", ".Speeds", ".Deferred", ".Ready", ".SessionCopies", ".Origins", ".Crashes", ".Survivals", ".Quarantined", ".Rollouts", ".Question", ".Answer",
		}},
		{file: "peers-origins-update.cbor", value: &peers.Update{}, unset: []string{
			".Partial", ".LinkMbps", ".Work", ".Usage", ".CallsInFlight", ".Down", ".Replaced", ".Successors", ".Draining", ".CachedPrompts",
			".FailureRates", ".Speeds", ".Deferred", ".Ready", ".SessionCopies", ".Runs", ".AmbiguousRuns", ".Crashes", ".Survivals", ".Quarantined", ".Rollouts", ".Question", ".Answer",
		}},
		{file: "peers-calls-update.cbor", value: &peers.Update{}, unset: []string{
			".Full", ".Partial", ".LinkMbps", ".Work", ".Down", ".Replaced", ".Successors", ".Draining", ".CachedPrompts",
			".FailureRates", ".Speeds", ".Deferred", ".SessionCopies", ".Runs", ".AmbiguousRuns", ".Origins", ".Crashes", ".Survivals", ".Quarantined", ".Rollouts", ".Question", ".Answer",
		}},
		{file: "peers-speeds-update.cbor", value: &peers.Update{}, unset: []string{
			".Partial", ".LinkMbps", ".Usage", ".CallsInFlight", ".Down", ".Replaced", ".Successors", ".Draining", ".CachedPrompts",
			".FailureRates", ".Ready", ".SessionCopies", ".Runs", ".AmbiguousRuns", ".Origins", ".Crashes", ".Survivals", ".Quarantined", ".Rollouts", ".Question", ".Answer",
		}},
		{file: "peers-question.cbor", value: &peers.Update{}, unset: append(zeroUpdateFields, ".Question.Era", ".Question.LatestEra", ".Question.Knowledge", ".Question.Packed", ".Question.Dictionary", ".Answer")},
		{file: "peers-answer.cbor", value: &peers.Update{}, unset: append(zeroUpdateFields, ".Question", ".Answer.Answer.Changes.Era", ".Answer.Answer.Era", ".Answer.Answer.Bridged", ".Answer.Answer.Lost", ".Answer.Answer.Reading", ".Answer.Knowledge", ".Answer.Packed", ".Answer.Dictionary", ".Answer.TooLong")},
		{file: "peers-era-question.cbor", value: &peers.Update{}, unset: append(zeroUpdateFields, ".Question.Packed", ".Question.Dictionary", ".Answer")},
		{file: "peers-era-answer.cbor", value: &peers.Update{}, unset: append(zeroUpdateFields, ".Question", ".Answer.Answer.Changes.Era", ".Answer.Answer.Reading", ".Answer.Packed", ".Answer.Dictionary", ".Answer.TooLong")},
		{file: "peers-packed-question.cbor", value: &peers.Update{}, unset: append(zeroUpdateFields, ".Question.Knowledge", ".Answer")},
		{file: "peers-packed-answer.cbor", value: &peers.Update{}, unset: append(zeroUpdateFields, ".Question", ".Answer.Answer.Changes", ".Answer.Knowledge")},
	} {
		t.Run(r.file, func(t *testing.T) {
			data := readRecord(t, r.file)
			assert.NilError(t, cbor.Unmarshal(data, r.value))
			checkFields(t, r)
			encoded, err := cbor.Marshal(r.value)
			assert.NilError(t, err)
			assert.DeepEqual(t, encoded, data)
		})
	}
}

// A renamed field or tag must not change the stored call pages: calls that ran would run
// again.
func TestCallPage_OfEarlierBuild(t *testing.T) {
	data := readRecord(t, "call-page.cbor")
	page, err := callpage.Decode(data)
	assert.NilError(t, err)
	encoded, err := page.Encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, encoded, data)
	unsetReserved := []string{".Done", ".ReplyDigest", ".Reply", ".BodyStored"}
	unsetLarge := []string{".Reply.Header", ".Reply.Body", ".BodyStored"}
	checkCall(t, page, "done", callpage.StatusFound, nil)
	checkCall(t, page, "large", callpage.StatusFound, unsetLarge)
	checkCall(t, page, "reserved", callpage.StatusFound, unsetReserved)
	checkCall(t, page, "gone", callpage.StatusExpired, zeroFields("", reflect.ValueOf(callpage.Record{})))
}

func checkCall(t *testing.T, page *callpage.Page, key string, status callpage.Status, unset []string) {
	t.Helper()
	lookup := callpage.Operation{Type: callpage.OpLookup, CallKey: callpage.CallKey{Workspace: "workspace", Key: key}}
	operations := []callpage.Operation{lookup}
	_, results, _ := page.Apply(time.Time{}, operations)
	assert.Equal(t, len(results), len(operations))
	for _, result := range results {
		assert.Equal(t, result.Status, status)
		checkFields(t, record{value: result.Record, unset: unset})
		if status == callpage.StatusFound {
			assert.Equal(t, result.Record.Digest, "digest-"+key)
			assert.Equal(t, string(result.Record.Request), "request-"+key)
			assert.Equal(t, string(result.Record.Target), "target-"+key)
		}
	}
}

// A renamed field or tag must not change the stored revisions.
func TestRevisionRecord_OfEarlierBuild(t *testing.T) {
	data := readRecord(t, "revision-record.json")
	decoded, err := version.DecodeRecord(data)
	assert.NilError(t, err)
	checkFields(t, record{value: decoded})
	encoded, err := decoded.Encode()
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), string(data))
}

// A renamed field or tag must not make a process refuse its settings file or ignore a part
// of it.
func TestSettings_OfEarlierBuild(t *testing.T) {
	for _, r := range []record{
		{file: "settings-entry.json", value: &settings.Entry{}, unset: []string{".Limits.MemoryMB"}},
		{file: "settings-agent-engine.json", value: &settings.Agent{}, unset: []string{".ApplicationURL"}},
		{file: "settings-agent-application.json", value: &settings.Agent{}, unset: []string{".EngineURL"}},
		{file: "settings-gateway.json", value: &gateway.Settings{}, unset: []string{
			".StoreWritesPerSecond", ".Bounds.CanaryShare", ".Bounds.CanarySlack", ".Bounds.RollbackWithin",
		}},
	} {
		t.Run(r.file, func(t *testing.T) {
			path := filepath.Join("testdata", "records", r.file)
			assert.NilError(t, settings.Read(path, r.value.(interface{ Check() error })))
			checkFields(t, r)
			checkSameJSON(t, r)
		})
	}
}

// A renamed field or tag must not change what operators' tools of another build read from
// a process or a report.
func TestOperatorRecords_OfEarlierBuild(t *testing.T) {
	for _, r := range []record{
		{file: "operator-status.json", value: &operator.Status{}},
		{file: "timeline.json", value: &[]timeline.Event{}},
		{file: "bench-report.json", value: &report.Report{}},
	} {
		t.Run(r.file, func(t *testing.T) {
			decoder := json.NewDecoder(bytes.NewReader(readRecord(t, r.file)))
			decoder.DisallowUnknownFields()
			assert.NilError(t, decoder.Decode(r.value))
			checkFields(t, r)
			checkSameJSON(t, r)
		})
	}
}

// checkSameJSON checks that the decoded value encodes to the JSON of its file, apart from
// white space. The order of the fields counts, so that two exchanged tags are found.
func checkSameJSON(t *testing.T, r record) {
	t.Helper()
	encoded, err := json.Marshal(r.value)
	assert.NilError(t, err)
	var written bytes.Buffer
	assert.NilError(t, json.Compact(&written, readRecord(t, r.file)))
	assert.Equal(t, string(encoded), written.String())
}
