package schema_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/version/schema"
)

// If this test fails because the configuration types changed, regenerate the
// committed file with: mlctl schema > deploy/schema.json
func TestGenerate_MatchesCommittedSchema(t *testing.T) {
	committed, err := os.ReadFile("../../deploy/schema.json")
	assert.NilError(t, err)
	current, err := schema.Generate()
	assert.NilError(t, err)
	assert.Equal(t, string(committed), string(current))
}
