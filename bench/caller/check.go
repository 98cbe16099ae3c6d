package caller

import (
	"slices"
	"strings"

	"github.com/mulberrylane/mulberrylane/outside/vocabulary"
	"github.com/mulberrylane/mulberrylane/request"
	"github.com/mulberrylane/mulberrylane/standin/oracle"
)

// Verdict counts the errors in the tokens of one response, or of several when added
// up.
type Verdict struct {
	// Missing counts tokens that were not received.
	Missing int `json:"missing"`
	// Repeated counts tokens that were received more than once.
	Repeated int `json:"repeated"`
	// Foreign counts tokens that occur nowhere in the expected output.
	Foreign int `json:"foreign"`
	// Mixed counts responses that begin with the expected output and continue with a
	// foreign token, as when the outputs of two generations are mixed.
	Mixed int `json:"mixed"`
	// TextWrong counts responses whose text does not match their tokens.
	TextWrong int `json:"textWrong"`
}

// OK reports whether no error was found.
func (v Verdict) OK() bool { return v == Verdict{} }

// Check compares a complete response with the output of the oracle.
func Check(salt, version string, req CompletionRequest, resp *CompletionResponse) Verdict {
	want := oracle.Generate(salt, version, oracle.Tokenize(req.Prompt), req.MaxTokens)
	verdict := compare(want, resp.Tokens)
	if verdict.OK() && textOf(want) != resp.Text {
		verdict.TextWrong = 1
	}
	return verdict
}

// CheckPrefix checks a response that broke off: its tokens must be a prefix of the
// output of the oracle.
func CheckPrefix(salt, version string, req CompletionRequest, resp *CompletionResponse) Verdict {
	length := min(req.MaxTokens, len(resp.Tokens))
	return compare(oracle.Generate(salt, version, oracle.Tokenize(req.Prompt), length), resp.Tokens)
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

// compare finds the first difference and returns a verdict with its kind.
func compare(want, got []request.TokenID) Verdict {
	matching := 0
	for matching < min(len(want), len(got)) && want[matching] == got[matching] {
		matching++
	}
	var verdict Verdict
	switch {
	case matching == len(want) && matching == len(got):
	case matching == len(got):
		verdict.Missing = len(want) - matching
	case matching == len(want):
		verdict.Repeated = len(got) - matching
	case slices.Contains(want[:matching], got[matching]):
		verdict.Repeated = 1
	case slices.Contains(want[matching:], got[matching]):
		verdict.Missing = slices.Index(want[matching:], got[matching])
	default:
		verdict.Foreign = 1
	}
	if verdict.Foreign > 0 && matching > 0 {
		verdict.Mixed = 1
	}
	return verdict
}

// textOf returns the text of tokens. An incomplete character at the end is replaced by
// U+FFFD, as in the text that callers receive.
func textOf(tokens []request.TokenID) string {
	var text []byte
	for _, token := range tokens {
		text = vocabulary.Syllables.TokenBytes(text, token)
	}
	return strings.ToValidUTF8(string(text), "\uFFFD")
}
