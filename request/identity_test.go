package request

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two requests that differ anywhere must not be served from each other's memory.
func TestIdentity_DiffersWithEachField(t *testing.T) {
	base := func() (Inbound, string, map[string][]string) {
		in := Inbound{Method: "POST", Host: "host", Target: "/path?query", Body: []byte("body")}
		return in, "workspace", map[string][]string{"Model": {"m"}, "Accept": {"a", "b"}}
	}
	in, workspace, header := base()
	want := in.Identity(workspace, header)
	seen := map[Identity]string{want: "base"}
	for name, change := range map[string]func(in *Inbound, workspace *string, header map[string][]string){
		"method":    func(in *Inbound, _ *string, _ map[string][]string) { in.Method = "PUT" },
		"host":      func(in *Inbound, _ *string, _ map[string][]string) { in.Host = "other" },
		"query":     func(in *Inbound, _ *string, _ map[string][]string) { in.Target = "/path?other" },
		"body":      func(in *Inbound, _ *string, _ map[string][]string) { in.Body = []byte("bodz") },
		"no body":   func(in *Inbound, _ *string, _ map[string][]string) { in.Body = nil },
		"workspace": func(_ *Inbound, workspace *string, _ map[string][]string) { *workspace = "other" },
		"field":     func(_ *Inbound, _ *string, header map[string][]string) { header["Model"] = []string{"n"} },
		"name": func(_ *Inbound, _ *string, header map[string][]string) {
			delete(header, "Model")
			header["Modem"] = []string{"m"}
		},
		"missing field":  func(_ *Inbound, _ *string, header map[string][]string) { delete(header, "Model") },
		"joined values":  func(_ *Inbound, _ *string, header map[string][]string) { header["Accept"] = []string{"a, b"} },
		"order":          func(_ *Inbound, _ *string, header map[string][]string) { header["Accept"] = []string{"b", "a"} },
		"moved boundary": func(in *Inbound, _ *string, _ map[string][]string) { in.Method, in.Host = "POSTh", "ost" },
	} {
		in, workspace, header := base()
		change(&in, &workspace, header)
		got := in.Identity(workspace, header)
		assert.Assert(t, seen[got] == "", "%s is the same as %s", name, seen[got])
		seen[got] = name
	}
}

// What differs between the attempts of a caller does not count.
func TestIdentity_IsTheSameForEachAttempt(t *testing.T) {
	first := Inbound{ID: "a", Target: "/path", TimeLeft: 9, Body: []byte("body"), APIKey: "old"}
	again := Inbound{ID: "b", Target: "/path", TimeLeft: 5, Body: []byte("body"), APIKey: "new", Position: 12}
	assert.Equal(t, first.Identity("workspace", nil), again.Identity("workspace", nil))
}
