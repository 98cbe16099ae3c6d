package main

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const entryText = `test: ./reeds TestFails
command: go test -run TestFails ./reeds
seed: none
seen: the pond is dry
issue: 3
`

func TestParseEntries(t *testing.T) {
	entries, err := parseEntries("# The pond.\n\n" + entryText + "\n\n" + `test: . TestBanks/left
seen: the left bank is dry,
  and so is the right one
issue: 4
seed: 7
command: go test .`)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0], entry{3, "./reeds", "TestFails", "go test -run TestFails ./reeds", "none", "the pond is dry", "3"})
	assert.Equal(t, entries[1], entry{10, ".", "TestBanks/left", "go test .", "7", "the left bank is dry, and so is the right one", "4"})
}

func TestParseEntries_ErrorsNameTheLine(t *testing.T) {
	for text, want := range map[string]string{
		entryText + entryText:                                         ":6: the field test is given twice",
		entryText + "\n" + entryText:                                  ":7: ./reeds TestFails is listed at line 1 already",
		strings.Replace(entryText, "issue: 3", "issue:", 1):           ":1: the entry has no issue",
		strings.Replace(entryText, "seed: none\n", "", 1):             ":1: the entry has no seed",
		strings.Replace(entryText, "seen:", "saw:", 1):                `:4: "saw: the pond is dry" is none of the fields`,
		"\nTestFails\n":                                               `:2: "TestFails" is none of the fields`,
		"\n  TestFails\n":                                             ":2: continues no field",
		strings.Replace(entryText, "./reeds TestFails", "TestA", 1):   ":1: test needs the directory",
		strings.Replace(entryText, "./reeds TestFails", "reeds A", 1): `:1: "reeds" must be the directory`,
	} {
		_, err := parseEntries(text)
		assert.ErrorContains(t, err, listFile+want)
	}
}

func TestReadEntries_MissingFileListsNone(t *testing.T) {
	entries, err := readEntries(t.TempDir())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
}

// Each file in testdata is the output of go test -json for one listed test.
func TestJudge_RecordedRuns(t *testing.T) {
	const passedOver = "failed, passed over"
	for _, test := range []struct {
		file, name string
		alsoListed []string
		want       string
	}{
		{"fails", "TestFails", nil, passedOver},
		{"panics", "TestPanics", nil, passedOver},
		{"hangs", "TestHangs", nil, passedOver},
		{"races", "TestRaces", nil, passedOver},
		{"one-subtest", "TestSubtests/left", nil, passedOver},
		{"passes", "TestPasses", nil, "passes again, remove its entry"},
		{"passes-then-panics", "TestPassesThenPanics", nil, "error: the test passes, but the run of it alone fails"},
		{"parent-fails", "TestSubtests/left", nil, "error: the test passes, but the run of it alone fails"},
		{"parent-fails", "TestSubtests/left", []string{"TestSubtests"}, "passes again, remove its entry"},
		{"skips", "TestSkips", nil, "error: the test was skipped"},
		{"missing", "TestMissing", nil, "error: the test does not exist"},
		{"missing-subtest", "TestSubtests/middle", nil, "error: the test does not exist"},
		{"stops-early", "TestStopsEarly/never", nil, "error: the test did not run"},
		{"test-main", "TestFails", nil, "error: the test did not run"},
		{"does-not-build", "TestFails", nil, "error: the test did not run"},
		{"subtests", "TestSubtests", []string{"TestSubtests/left"}, "error: its subtest TestSubtests/right fails and is not listed"},
		{"subtests", "TestSubtests", []string{"TestSubtests/left", "TestSubtests/right"}, passedOver},
		{"hanging-subtest", "TestHangsBelow", nil, "error: its subtest TestHangsBelow/deep fails and is not listed"},
	} {
		t.Run(test.file, func(t *testing.T) {
			stream, err := os.Open(filepath.Join("testdata", test.file+".json"))
			assert.NilError(t, err)
			defer func() { _ = stream.Close() }()
			actions, output, err := readEvents(stream)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(output, "example.com/pond"), output)
			entries := []entry{{directory: "./reeds", test: test.name}}
			for _, name := range test.alsoListed {
				entries = append(entries, entry{directory: "./reeds", test: name})
			}
			// An entry of the same name in another package changes nothing.
			entries = append(entries, entry{directory: "./pond", test: "TestSubtests/right"})
			assert.Equal(t, judge(entries[0], entries, actions).String(), test.want)
		})
	}
}

const reedsTests = `package reeds

import "testing"

func TestFails(t *testing.T) { t.Error("the pond is dry") }

func TestSubtests(t *testing.T) {
	t.Run("left", func(t *testing.T) { t.Error("the left bank is dry") })
	t.Run("right", func(*testing.T) {})
}
`

const subtestEntry = `
test: ./reeds TestSubtests/left
command: go test -run TestSubtests ./reeds
seed: 8
seen: the left bank is dry
issue: 4
`

// runModule runs the tests of a small module, in which the two tests that fail are listed,
// with some of its files replaced or added.
func runModule(t *testing.T, changed map[string]string, flags ...string) (ok bool, out string, err error) {
	t.Helper()
	files := map[string]string{
		"go.mod":                "module example.com/pond\n\ngo 1.26\n",
		"reeds/reeds_test.go":   reedsTests,
		"herons/herons_test.go": "package herons\n\nimport \"testing\"\n\nfunc TestFails(*testing.T) {}\n",
		listFile:                entryText + subtestEntry,
	}
	maps.Copy(files, changed)
	directory := t.TempDir()
	for name, text := range files {
		path := filepath.Join(directory, name)
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	var written strings.Builder
	ok, err = run(directory, flags, &written)
	return ok, written.String(), err
}

func TestRun_ListedFailuresArePassedOverAndPrinted(t *testing.T) {
	ok, out, err := runModule(t, nil)
	assert.NilError(t, err)
	assert.Assert(t, ok, out)
	for _, want := range []string{
		"ok  \texample.com/pond/reeds", "ok  \texample.com/pond/herons", "        reeds_test.go:5: the pond is dry",
	} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
	_, list, _ := strings.Cut(out, "\nKnown failures listed in KNOWN-RED.txt:\n")
	assert.Equal(t, list, `./reeds TestFails: failed, passed over
    issue 3, seed none, seen: the pond is dry
    go test -run TestFails ./reeds
./reeds TestSubtests/left: failed, passed over
    issue 4, seed 8, seen: the left bank is dry
    go test -run TestSubtests ./reeds
`)
}

func TestRun_ListedTestThatPassesIsReported(t *testing.T) {
	ok, out, err := runModule(t, map[string]string{"reeds/reeds_test.go": strings.ReplaceAll(reedsTests, "t.Error", "t.Log")})
	assert.NilError(t, err)
	assert.Assert(t, ok, out)
	assert.Equal(t, strings.Count(out, "passes again, remove its entry"), 2)
}

// The tests beside a listed one run also if that ends the test process.
func TestRun_ListedTestThatEndsTheProcessHidesNoOther(t *testing.T) {
	tests := map[string]struct {
		body  string
		flags []string
	}{
		"exit":               {"os.Exit(1)", nil},
		"exit as passed":     {"os.Exit(0)", nil},
		"panic":              {`panic("the pond is dry")`, nil},
		"panic of goroutine": {`go func() { panic("the pond is dry") }(); select {}`, nil},
		"race":               {"n, done := 0, make(chan bool); go func() { n++; close(done) }(); n++; <-done", []string{"-race"}},
		"timeout":            {"select {}", []string{"-timeout", "5s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ok, out, err := runModule(t, map[string]string{
				"reeds/reeds_test.go": "package reeds\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n" +
					"func TestFails(*testing.T) { " + test.body + " }\n\nfunc TestMore(t *testing.T) { t.Fail() }\n",
				listFile: entryText,
			}, test.flags...)
			assert.NilError(t, err)
			assert.Assert(t, !ok, out)
			assert.Assert(t, strings.Contains(out, "--- FAIL: TestMore"), out)
			assert.Assert(t, strings.HasSuffix(strings.Split(out, "\n    issue 3")[0], "./reeds TestFails: failed, passed over"), out)
		})
	}
}

// Each change makes the module fail for a reason that no entry covers.
func TestRun_NothingElseIsPassedOver(t *testing.T) {
	reeds := func(body string) map[string]string {
		return map[string]string{"reeds/more_test.go": "package reeds\n\nimport (\n\t\"os\"\n\t\"testing\"\n\t\"time\"\n)\n\n" +
			"var _, _ = os.Args, time.Second\n\n" + body}
	}
	tests := map[string]struct {
		changed map[string]string
		want    string
		flags   []string
	}{
		"test beside listed":    {reeds("func TestMore(t *testing.T) { t.Error(1) }"), "--- FAIL: TestMore", nil},
		"subtest beside listed": {map[string]string{"reeds/reeds_test.go": strings.Replace(reedsTests, "func(*testing.T) {}", "func(t *testing.T) { t.Fail() }", 1)}, "--- FAIL: TestSubtests/right", nil},
		"test around listed":    {map[string]string{"reeds/reeds_test.go": strings.Replace(reedsTests, "func TestSubtests(t *testing.T) {", "func TestSubtests(t *testing.T) {\n\tt.Fail()", 1)}, "--- FAIL: TestSubtests", nil},
		"name in other package": {map[string]string{"herons/herons_test.go": "package herons\n\nimport \"testing\"\n\nfunc TestFails(t *testing.T) { t.Fail() }\n"}, "FAIL\texample.com/pond/herons", nil},
		"longer name":           {reeds("func TestFailsMore(t *testing.T) { t.Fail() }"), "--- FAIL: TestFailsMore", nil},
		"panic":                 {reeds("func TestMore(*testing.T) { panic(1) }"), "panic: 1", nil},
		"timeout":               {reeds("func TestMore(*testing.T) { time.Sleep(time.Minute) }"), "panic: test timed out", []string{"-timeout", "2s"}},
		"exit":                  {reeds("func TestMore(*testing.T) { os.Exit(1) }"), "FAIL\texample.com/pond/reeds", nil},
		"test main":             {reeds("func TestMain(m *testing.M) { m.Run(); os.Exit(2) }"), "FAIL\texample.com/pond/reeds", nil},
		"race outside of tests": {reeds("func TestMain(m *testing.M) {\n\tn, done := 0, make(chan bool)\n\tgo func() { n++; close(done) }()\n\tn++\n\t<-done\n\tos.Exit(m.Run())\n}"), "race detected outside of test execution", []string{"-race"}},
		"package not built":     {map[string]string{"herons/herons_test.go": "package herons\n\nvar x = missing\n"}, "FAIL\texample.com/pond/herons [build failed]", nil},
		"listed package broken": {reeds("var x = missing"), "FAIL\texample.com/pond/reeds [build failed]", nil},
		"missing test":          {map[string]string{"reeds/reeds_test.go": strings.Replace(reedsTests, "TestFails", "TestRenamed", 1)}, "error: the test does not exist", nil},
		"panic after pass":      {map[string]string{"reeds/reeds_test.go": strings.NewReplacer(`import "testing"`, "import (\n\t\"testing\"\n\t\"time\"\n)", `{ t.Error("the pond is dry") }`, "{ go func() { time.Sleep(100 * time.Millisecond); panic(1) }() }\n\nfunc TestMain(m *testing.M) { m.Run(); time.Sleep(time.Second) }").Replace(reedsTests)}, "error: the test passes, but the run of it alone fails", nil},
		"skipped test":          {map[string]string{"reeds/reeds_test.go": strings.Replace(reedsTests, "t.Error", "t.Skip", 1)}, "error: the test was skipped", nil},
		"without a list":        {map[string]string{listFile: ""}, "--- FAIL: TestFails", nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ok, out, err := runModule(t, test.changed, test.flags...)
			assert.NilError(t, err)
			assert.Assert(t, !ok, out)
			assert.Assert(t, strings.Contains(out, test.want), out)
		})
	}
}

func TestRun_EntryOfMissingPackageIsAnError(t *testing.T) {
	for _, directory := range []string{"./swans", "./..."} {
		_, _, err := runModule(t, map[string]string{listFile: strings.ReplaceAll(entryText, "./reeds", directory)})
		assert.ErrorContains(t, err, "KNOWN-RED.txt:1: there is no package "+directory)
	}
}

func TestRun_MalformedListIsAnErrorBeforeAnyTest(t *testing.T) {
	_, out, err := runModule(t, map[string]string{listFile: "TestFails\n"})
	assert.ErrorContains(t, err, "KNOWN-RED.txt:1: ")
	assert.Equal(t, out, "")
}
