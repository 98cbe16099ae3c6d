package entry

import (
	"bytes"
	"encoding/json"

	"github.com/mulberrylane/mulberrylane/fault"
)

// unserved holds the parameters of the API that change an answer and that are not
// served. A request that sets one of them is refused, since an answer without its
// effect would be wrong without a word.
type unserved struct {
	Suffix           json.RawMessage `json:"suffix"`
	Echo             json.RawMessage `json:"echo"`
	BestOf           json.RawMessage `json:"best_of"`
	Stop             json.RawMessage `json:"stop"`
	Logprobs         json.RawMessage `json:"logprobs"`
	TopLogprobs      json.RawMessage `json:"top_logprobs"`
	LogitBias        json.RawMessage `json:"logit_bias"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty"`
	PresencePenalty  json.RawMessage `json:"presence_penalty"`
	Tools            json.RawMessage `json:"tools"`
	Functions        json.RawMessage `json:"functions"`
	ResponseFormat   json.RawMessage `json:"response_format"`
	Modalities       json.RawMessage `json:"modalities"`
	Audio            json.RawMessage `json:"audio"`
	Prediction       json.RawMessage `json:"prediction"`
	ReasoningEffort  json.RawMessage `json:"reasoning_effort"`
}

// namedParameter is a parameter and the values that change nothing.
type namedParameter struct {
	name    string
	value   json.RawMessage
	neutral []string
}

func (u unserved) parameters() []namedParameter {
	none := []string{"null", `""`, "[]", "{}", "false", "0"}
	one := []string{"null", "1", "0"}
	text := []string{"null", `{"type":"text"}`, `["text"]`}
	return []namedParameter{
		{"suffix", u.Suffix, none},
		{"echo", u.Echo, none},
		{"best_of", u.BestOf, one},
		{"stop", u.Stop, none},
		{"logprobs", u.Logprobs, none},
		{"top_logprobs", u.TopLogprobs, none},
		{"logit_bias", u.LogitBias, none},
		{"frequency_penalty", u.FrequencyPenalty, none},
		{"presence_penalty", u.PresencePenalty, none},
		{"tools", u.Tools, none},
		{"functions", u.Functions, none},
		{"response_format", u.ResponseFormat, text},
		{"modalities", u.Modalities, text},
		{"audio", u.Audio, none},
		{"prediction", u.Prediction, none},
		{"reasoning_effort", u.ReasoningEffort, none},
	}
}

// check returns an error that names the first parameter which is not served.
func (u unserved) check() error {
	for _, parameter := range u.parameters() {
		if !parameter.changesNothing() {
			return fault.New(fault.BadRequest, "%s: is not served", parameter.name)
		}
	}
	return nil
}

func (p namedParameter) changesNothing() bool {
	if len(p.value) == 0 {
		return true
	}
	var compact bytes.Buffer
	if json.Compact(&compact, p.value) != nil {
		return false
	}
	for _, neutral := range p.neutral {
		if compact.String() == neutral {
			return true
		}
	}
	return false
}
