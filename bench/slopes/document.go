package slopes

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"time"

	"github.com/mulberrylane/mulberrylane/version"
)

// tokensPerWorkspace is how many bearer tokens a workspace has.
const tokensPerWorkspace = 2

// documentSizes returns the size of a configuration document at the target, as
// JSON and after gzip.
func documentSizes(t Target) (plain, packed float64) {
	data, err := json.Marshal(targetDocument(t))
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

func targetDocument(t Target) version.Document {
	document := version.Document{
		Services:   map[string]version.Service{},
		Workspaces: map[string]version.Workspace{},
		Profiles:   map[string]version.Profile{},
	}
	for i := range t.Models {
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
	for i := range t.Workspaces {
		workspace := version.Workspace{Share: 1 + i%7, MaxConcurrent: 100, TokensPerSecond: 5000}
		for token := range tokensPerWorkspace {
			workspace.TokenDigests = append(workspace.TokenDigests, version.TokenDigest(fmt.Sprintf("%d/%d", i, token)))
		}
		document.Workspaces[fmt.Sprintf("workspace-%d", i)] = workspace
	}
	return document
}
