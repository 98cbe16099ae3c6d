package routes

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func table(t *testing.T, routes ...Route) *Table {
	t.Helper()
	compiled, err := Compile(Document{Version: 3, Routes: routes, Workspaces: []Workspace{{Name: "crew", Keys: []string{"k"}}}})
	assert.NilError(t, err)
	return compiled
}

func route(host, prefix string) Route {
	return Route{Name: host + prefix, Host: host, Prefix: prefix, Backends: []Backend{{Service: "s", Weight: 1}}}
}

func TestLongestPrefixOfTheHostIsMatched(t *testing.T) {
	compiled := table(t, route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/"))
	for path, want := range map[string]string{
		"/x/y/z": "a.example/x/y/", "/x/y/": "a.example/x/y/", "/x/y": "a.example/x/", "/x/yy/": "a.example/x/",
		"/x": "a.example/", "/": "a.example/", "/q/x/y/": "a.example/",
	} {
		assert.Equal(t, compiled.Match("a.example", path).Name, want, path)
		assert.Equal(t, compiled.Match("A.example:8080", path).Name, want, path)
	}
	assert.Assert(t, compiled.Match("b.example", "/") == nil)
	assert.Assert(t, compiled.Match("c.example", "/x/") == nil)
	assert.Assert(t, compiled.Match("a.example", "x") == nil)
}

func TestManyRoutesAreFoundLikeFewOnes(t *testing.T) {
	var many []Route
	for i := range 2000 {
		many = append(many, route("a.example", fmt.Sprintf("/r%d/", i)))
	}
	compiled := table(t, many...)
	for i := range 2000 {
		assert.Equal(t, compiled.Match("a.example", fmt.Sprintf("/r%d/x", i)).Prefix, many[i].Prefix)
	}
}

func TestKeysNameTheirWorkspace(t *testing.T) {
	open := route("a.example", "/open/")
	open.Anonymous = true
	compiled := table(t, route("a.example", "/x/"), open)
	workspace, ok := compiled.Authorize(compiled.Match("a.example", "/x/1"), "k")
	assert.Assert(t, ok)
	assert.Equal(t, workspace.Name, "crew")
	_, ok = compiled.Authorize(compiled.Match("a.example", "/x/1"), "")
	assert.Assert(t, !ok)
	_, ok = compiled.Authorize(compiled.Match("a.example", "/open/1"), "")
	assert.Assert(t, ok)
}

func TestSplitRoutesKeepToTheirWeights(t *testing.T) {
	split := route("a.example", "/x/")
	split.Backends = []Backend{{Service: "s", Weight: 90}, {Service: "canary", Weight: 10}}
	share := map[string]int{}
	for i := range 5000 {
		share[split.Service(fmt.Sprint("request-", i))]++
	}
	assert.Assert(t, share["canary"] > 400 && share["canary"] < 600, "%v", share)
	assert.Equal(t, split.Service("one"), split.Service("one"))
}

func TestBrokenRoutesAreRejected(t *testing.T) {
	none := route("a.example", "/x/")
	none.Backends = nil
	_, err := Compile(Document{Routes: []Route{none}})
	assert.ErrorContains(t, err, "no service")
	_, err = Compile(Document{Routes: []Route{route("a.example", "x")}})
	assert.ErrorContains(t, err, "slash")
}
