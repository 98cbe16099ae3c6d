package oracle

import "github.com/mulberrylane/mulberrylane/request"

// Tokenize returns the tokens of text, one per byte.
func Tokenize(text string) []request.TokenID {
	tokens := make([]request.TokenID, len(text))
	for i := range len(text) {
		tokens[i] = request.TokenID(text[i])
	}
	return tokens
}

// ApplyChatTemplate returns the prompt text of a chat.
func ApplyChatTemplate(messages []request.Message) string {
	var text string
	for _, message := range messages {
		text += "<|" + message.Role + "|>" + message.Content + "\n"
	}
	return text + "<|assistant|>"
}
