package mulberrylane_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// corePackages lists packages of decision logic without side effects. The linter forbids
// sockets, files, clocks and global random sources in them; this test forbids goroutines
// and channels.
var corePackages = []string{
	"request", "version", "connection/detector", "connection/keepalive", "process/routing",
	"process/admission", "process/membership", "process/callpage", "process/gate", "process/order",
	"process/gossip",
	"process/directory", "process/placement", "process/registry", "process/freshness", "process/prompts",
	"process/shutdown", "process/storesync", "process/quarantine", "process/kvcopies", "connection/quota",
}

func TestCorePackages_UseNoGoroutinesOrChannels(t *testing.T) {
	checked := 0
	for _, directory := range corePackages {
		files, err := filepath.Glob(filepath.Join(directory, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			checked++
			checkNoConcurrency(t, file)
		}
	}
	assert.Assert(t, checked > 10)
}

func checkNoConcurrency(t *testing.T, file string) {
	t.Helper()
	source, err := os.ReadFile(file)
	assert.NilError(t, err)
	fileSet := token.NewFileSet()
	parsed, err := parser.ParseFile(fileSet, file, source, 0)
	assert.NilError(t, err)
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
			t.Errorf("%s: core packages must not use goroutines or channels", fileSet.Position(node.Pos()))
		}
		return true
	})
}
