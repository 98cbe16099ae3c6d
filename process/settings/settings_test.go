package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrylane/mulberrylane/process/settings"
)

const agentSettings = `{
  "name": "agent-1", "failureDomain": "paros", "host": "host-1", "target": "t-1", "service": "survey-writer",
  "links": "10.0.0.1:7000", "operators": "OPERATORS", "operatorDigests": [DIGESTS],
  "keys": {"certificate": "c", "key": "k", "authority": "a"},
  "platform": {"store": ["http://10.0.0.5:2379"], "hostList": "http://10.0.0.6/hosts"},
  "engine": "http://127.0.0.1:8000"
}`

func decodeAgent(operators, digests string) error {
	text := agentSettings
	for old, value := range map[string]string{"OPERATORS": operators, "DIGESTS": digests} {
		text = strings.ReplaceAll(text, old, value)
	}
	var s settings.Agent
	return settings.Decode([]byte(text), &s)
}

func TestOperatorAddress_RequiresTokenBeyondLoopback(t *testing.T) {
	assert.NilError(t, decodeAgent("127.0.0.1:9080", ""))
	assert.NilError(t, decodeAgent("10.0.0.1:9080", `"00ff"`))
	assert.ErrorContains(t, decodeAgent("10.0.0.1:9080", ""), "operatorDigests:")
	assert.ErrorContains(t, decodeAgent("nowhere", `"00ff"`), "operators:")
}
