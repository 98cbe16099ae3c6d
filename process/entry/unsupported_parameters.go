package entry

import (
	"bytes"
	"encoding/json"

	"github.com/mulberrylane/mulberrylane/fault"
)

// unsupportedParameters holds the parameters of the API that affect the output but are
// not supported. A request that sets one of them is refused, since output without the
// effect of the parameter would be silently wrong.
type unsupportedParameters struct {
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

// unsupportedParameter is one parameter with the values that have no effect.
type unsupportedParameter struct {
	name          string
	value         json.RawMessage
	neutralValues []string
}

func (u unsupportedParameters) parameters() []unsupportedParameter {
	emptyValues := []string{"null", `""`, "[]", "{}", "false", "0"}
	singleChoice := []string{"null", "1", "0"}
	textOnly := []string{"null", `{"type":"text"}`, `["text"]`}
	return []unsupportedParameter{
		{"suffix", u.Suffix, emptyValues},
		{"echo", u.Echo, emptyValues},
		{"best_of", u.BestOf, singleChoice},
		{"stop", u.Stop, emptyValues},
		{"logprobs", u.Logprobs, emptyValues},
		{"top_logprobs", u.TopLogprobs, emptyValues},
		{"logit_bias", u.LogitBias, emptyValues},
		{"frequency_penalty", u.FrequencyPenalty, emptyValues},
		{"presence_penalty", u.PresencePenalty, emptyValues},
		{"tools", u.Tools, emptyValues},
		{"functions", u.Functions, emptyValues},
		{"response_format", u.ResponseFormat, textOnly},
		{"modalities", u.Modalities, textOnly},
		{"audio", u.Audio, emptyValues},
		{"prediction", u.Prediction, emptyValues},
		{"reasoning_effort", u.ReasoningEffort, emptyValues},
	}
}

// checkUnsupported returns an error that names the first unsupported parameter whose
// value has an effect.
func (u unsupportedParameters) checkUnsupported() error {
	for _, parameter := range u.parameters() {
		if !parameter.hasNoEffect() {
			return fault.New(fault.BadRequest, "%s: is not served", parameter.name)
		}
	}
	return nil
}

func (p unsupportedParameter) hasNoEffect() bool {
	if len(p.value) == 0 {
		return true
	}
	var compact bytes.Buffer
	if json.Compact(&compact, p.value) != nil {
		return false
	}
	for _, neutral := range p.neutralValues {
		if compact.String() == neutral {
			return true
		}
	}
	return false
}
