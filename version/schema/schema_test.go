package schema_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/version/schema"
)

// TestCommittedSchemaIsCurrent fails when the types changed and the committed
// file was not made anew with: mlctl schema > deploy/schema.json
func TestCommittedSchemaIsCurrent(t *testing.T) {
	committed, err := os.ReadFile("../../deploy/schema.json")
	assert.NilError(t, err)
	current, err := schema.Generate()
	assert.NilError(t, err)
	assert.Equal(t, string(committed), string(current))
}
