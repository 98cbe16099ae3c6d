package caller

import (
	"slices"
	"strings"

	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
)

// Verdict counts what is wrong with the tokens of one answer.
type Verdict struct {
	// Missing counts tokens that never came.
	Missing int `json:"missing"`
	// Repeated counts tokens that came again.
	Repeated int `json:"repeated"`
	// Foreign counts tokens of no part of the expected answer.
	Foreign int `json:"foreign"`
	// Mixed counts answers that left the expected generation for another.
	Mixed int `json:"mixed"`
	// TextWrong counts answers whose text is not that of their tokens.
	TextWrong int `json:"textWrong"`
}

// OK says that nothing is wrong.
func (v Verdict) OK() bool { return v == Verdict{} }

// Check compares a complete answer with the oracle's.
func Check(salt, version string, ask CompletionRequest, answer *CompletionResponse) Verdict {
	want := oracle.Generate(salt, version, oracle.Tokenize(ask.Prompt), ask.MaxTokens)
	verdict := compare(want, answer.Tokens)
	if verdict.OK() && textOf(want) != answer.Text {
		verdict.TextWrong = 1
	}
	return verdict
}

// CheckPrefix compares what came of an answer that broke off: all of it must be the
// beginning of the oracle's.
func CheckPrefix(salt, version string, ask CompletionRequest, answer *CompletionResponse) Verdict {
	length := min(ask.MaxTokens, len(answer.Tokens))
	return compare(oracle.Generate(salt, version, oracle.Tokenize(ask.Prompt), length), answer.Tokens)
}

// Add returns the sum of two verdicts.
func (v Verdict) Add(other Verdict) Verdict {
	return Verdict{
		Missing:   v.Missing + other.Missing,
		Repeated:  v.Repeated + other.Repeated,
		Foreign:   v.Foreign + other.Foreign,
		Mixed:     v.Mixed + other.Mixed,
		TextWrong: v.TextWrong + other.TextWrong,
	}
}

// compare finds the first difference and says what kind it is.
func compare(want, got []request.TokenID) Verdict {
	same := 0
	for same < min(len(want), len(got)) && want[same] == got[same] {
		same++
	}
	var verdict Verdict
	switch {
	case same == len(want) && same == len(got):
	case same == len(got):
		verdict.Missing = len(want) - same
	case same == len(want):
		verdict.Repeated = len(got) - same
	case slices.Contains(want[:same], got[same]):
		verdict.Repeated = 1
	case slices.Contains(want[same:], got[same]):
		verdict.Missing = slices.Index(want[same:], got[same])
	default:
		verdict.Foreign = 1
	}
	if verdict.Foreign > 0 && same > 0 {
		verdict.Mixed = 1
	}
	return verdict
}

// textOf returns the text of tokens, with a cut-off letter at the end replaced as
// callers see it.
func textOf(tokens []request.TokenID) string {
	var text []byte
	for _, token := range tokens {
		text = vocabulary.Syllables.TokenBytes(text, token)
	}
	return strings.ToValidUTF8(string(text), "\uFFFD")
}
