package routes

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func compileTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	compiled, err := Compile(Document{Version: 3, Routes: routes, Workspaces: []Workspace{{Name: "crew", Keys: []string{"k"}}}})
	assert.NilError(t, err)
	return compiled
}

func newRoute(host, prefix string) Route {
	return Route{Name: host + prefix, Host: host, Prefix: prefix, Backends: []Backend{{Service: "s", Weight: 1}}}
}

func TestMatch_SelectsLongestPrefixOfHost(t *testing.T) {
	compiled := compileTable(t, newRoute("a.example", "/"), newRoute("a.example", "/x/"), newRoute("a.example", "/x/y/"), newRoute("b.example", "/x/"))
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

func TestMatch_FindsEachOfManyRoutes(t *testing.T) {
	var many []Route
	for i := range 2000 {
		many = append(many, newRoute("a.example", fmt.Sprintf("/r%d/", i)))
	}
	compiled := compileTable(t, many...)
	for i := range 2000 {
		assert.Equal(t, compiled.Match("a.example", fmt.Sprintf("/r%d/x", i)).Prefix, many[i].Prefix)
	}
}

func TestAuthorize_ReturnsWorkspaceOfKey(t *testing.T) {
	anonymous := newRoute("a.example", "/open/")
	anonymous.Anonymous = true
	compiled := compileTable(t, newRoute("a.example", "/x/"), anonymous)
	workspace, ok := compiled.Authorize(compiled.Match("a.example", "/x/1"), "k")
	assert.Assert(t, ok)
	assert.Equal(t, workspace.Name, "crew")
	_, ok = compiled.Authorize(compiled.Match("a.example", "/x/1"), "")
	assert.Assert(t, !ok)
	_, ok = compiled.Authorize(compiled.Match("a.example", "/open/1"), "")
	assert.Assert(t, ok)
}

// Without any key that is valid, no request is authorized.
func TestAuthorize_WithoutWorkspacesRejectsAllKeys(t *testing.T) {
	anonymous := newRoute("a.example", "/open/")
	anonymous.Anonymous = true
	for _, requiresKeys := range []bool{false, true} {
		compiled, err := Compile(Document{Routes: []Route{newRoute("a.example", "/x/"), anonymous}, RequiresKeys: requiresKeys})
		assert.NilError(t, err)
		for _, key := range []string{"", "k"} {
			_, ok := compiled.Authorize(compiled.Match("a.example", "/x/1"), key)
			assert.Equal(t, ok, !requiresKeys)
			_, ok = compiled.Authorize(compiled.Match("a.example", "/open/1"), key)
			assert.Assert(t, ok)
		}
	}
}

func TestService_DistributesByWeight(t *testing.T) {
	split := newRoute("a.example", "/x/")
	split.Backends = []Backend{{Service: "s", Weight: 90}, {Service: "canary", Weight: 10}}
	counts := map[string]int{}
	for i := range 5000 {
		counts[split.Service(fmt.Sprint("request-", i))]++
	}
	assert.Assert(t, counts["canary"] > 400 && counts["canary"] < 600, "%v", counts)
	assert.Equal(t, split.Service("one"), split.Service("one"))
}

func TestCompile_RejectsInvalidRoutes(t *testing.T) {
	noBackends := newRoute("a.example", "/x/")
	noBackends.Backends = nil
	_, err := Compile(Document{Routes: []Route{noBackends}})
	assert.ErrorContains(t, err, "no service")
	_, err = Compile(Document{Routes: []Route{newRoute("a.example", "x")}})
	assert.ErrorContains(t, err, "slash")
}
