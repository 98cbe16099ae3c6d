package slopes

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"time"

	"github.com/mulberrylane/mulberrylane/version"
)

// tokensPerWorkspace is the number of bearer tokens of a workspace.
const tokensPerWorkspace = 2

// documentSizes returns the size in bytes of a configuration document at the objective,
// as JSON and after gzip.
func documentSizes(o Objective) (uncompressed, compressed float64) {
	data, err := json.Marshal(objectiveDocument(o))
	if err != nil {
		return 0, 0
	}
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(data); err != nil {
		return 0, 0
	}
	if writer.Close() != nil {
		return 0, 0
	}
	return float64(len(data)), float64(out.Len())
}

func objectiveDocument(o Objective) version.Document {
	document := version.Document{
		Services:   map[string]version.Service{},
		Workspaces: map[string]version.Workspace{},
		Profiles:   map[string]version.Profile{},
	}
	for i := range o.Models {
		name := fmt.Sprintf("model-service-%d", i)
		document.Services[name] = version.Service{
			Kind: version.ModelService, Profile: name,
			Model: &version.Model{Version: name + "-2026-11", Vocabulary: "syllables", MaxTokens: 8192, Adapters: []string{name + "-formal", name + "-brief"}},
		}
		document.Profiles[name] = version.Profile{
			Deadline: version.Duration(time.Minute), ResumeWithin: version.Duration(time.Second),
			Hedge: version.HedgeOnSuspicion, Overload: version.OverloadQueue,
			Spread: version.SpreadPrefer, Drain: version.DrainFinish, StaleConfiguration: version.StaleServe,
		}
	}
	for i := range o.Workspaces {
		workspace := version.Workspace{Share: 1 + i%7, MaxConcurrent: 100, TokensPerSecond: 5000}
		for token := range tokensPerWorkspace {
			workspace.TokenDigests = append(workspace.TokenDigests, version.TokenDigest(fmt.Sprintf("%d/%d", i, token)))
		}
		document.Workspaces[fmt.Sprintf("workspace-%d", i)] = workspace
	}
	return document
}
