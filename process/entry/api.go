package entry

import "github.com/mulberrylane/mulberrylane/request"

// The messages of the OpenAI API that callers use. Parameters that affect the
// output but are not supported are refused (see unsupportedParameters). All other
// unlisted fields are ignored, since the API may add new ones at any time.
//
// encoding/json puts the type names completionAsk, chatAsk, chatTurn and streamOptions
// into the errors that callers get for a malformed body.

// promptText is a prompt given as a string or as a list with one string.
type promptText string

type completionAsk struct {
	Model         string         `json:"model"`
	Prompt        promptText     `json:"prompt"`
	MaxTokens     *int           `json:"max_tokens"`
	Temperature   *float64       `json:"temperature"`
	TopP          float64        `json:"top_p"`
	Seed          int64          `json:"seed"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             int            `json:"n"`
	// ReturnTokenIDs asks for token ids in addition to the text.
	ReturnTokenIDs bool `json:"return_token_ids"`
	unsupportedParameters
}

type chatAsk struct {
	completionAsk
	Messages            []chatTurn `json:"messages"`
	MaxCompletionTokens *int       `json:"max_completion_tokens"`
}

// chatTurn is one message of a chat prompt.
type chatTurn struct {
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
}

// messageContent is the content of a message, given as a string or as a list of
// text parts.
type messageContent string

type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func (r chatAsk) prompt() request.Prompt {
	messages := make([]request.Message, 0, len(r.Messages))
	for _, message := range r.Messages {
		messages = append(messages, request.Message{Role: message.Role, Content: string(message.Content)})
	}
	return request.Prompt{Messages: messages}
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is the only choice of a response or stream event. Text is set for
// completions, Delta for chat events and Message for chat responses that are not
// streamed.
type choice struct {
	Index          int                   `json:"index"`
	Text           *string               `json:"text,omitempty"`
	Delta          *chatMessage          `json:"delta,omitempty"`
	Message        *chatMessage          `json:"message,omitempty"`
	FinishReason   *request.FinishReason `json:"finish_reason"`
	TokenIDs       []request.TokenID     `json:"token_ids,omitempty"`
	PromptTokenIDs []request.TokenID     `json:"prompt_token_ids,omitempty"`
}

// completionResponse is a whole response or one event of a streamed response.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Outcome is set on responses that are not streamed and on the last event of a
	// stream.
	Outcome *request.Outcome `json:"outcome,omitempty"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

type errorResponse struct {
	Error   errorBody        `json:"error"`
	Outcome *request.Outcome `json:"outcome,omitempty"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}
