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

// corePackages decide and do nothing else; the linter keeps sockets, files,
// clocks and global chance out of them, this test goroutines and channels.
var corePackages = []string{
	"request", "version", "connection/detector", "process/routing",
	"process/admission", "process/membership", "process/callpage", "process/gate", "process/order",
	"process/gossip",
	"process/directory",
}

func TestCoreStartsNoGoroutine(t *testing.T) {
	checked := 0
	for _, directory := range corePackages {
		files, err := filepath.Glob(filepath.Join(directory, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			checked++
			checkFile(t, file)
		}
	}
	assert.Assert(t, checked > 10)
}

func checkFile(t *testing.T, file string) {
	t.Helper()
	source, err := os.ReadFile(file)
	assert.NilError(t, err)
	set := token.NewFileSet()
	parsed, err := parser.ParseFile(set, file, source, 0)
	assert.NilError(t, err)
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
			t.Errorf("%s: the deciding core has no goroutine and no channel", set.Position(node.Pos()))
		}
		return true
	})
}
