package mulberrylane_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/settings"
)

// TestReadmeSettingsAreValid decodes the settings examples of an entry and an agent in
// README.md. The third example, the settings of mlctl, is only counted.
func TestReadmeSettingsAreValid(t *testing.T) {
	text, err := os.ReadFile("README.md")
	assert.NilError(t, err)
	var examples []string
	for _, part := range strings.Split(string(text), "```json\n")[1:] {
		example, _, closed := strings.Cut(part, "```")
		assert.Assert(t, closed)
		examples = append(examples, example)
	}
	assert.Equal(t, len(examples), 3)
	assert.NilError(t, settings.Decode([]byte(examples[0]), &settings.Entry{}))
	assert.NilError(t, settings.Decode([]byte(examples[1]), &settings.Agent{}))
}
