package entry

import "github.com/mulberrylane/mulberrylane/request"

// The messages of the OpenAI API that callers speak. Parameters that change an
// answer and are not served are refused (unserved); all other fields that are not
// listed are ignored, as the API allows new ones at any time.

// promptText is a prompt given as text or as a list with one text.
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
	// ReturnTokenIDs asks for token ids beside the text.
	ReturnTokenIDs bool `json:"return_token_ids"`
	unserved
}

type chatAsk struct {
	completionAsk
	Messages            []chatTurn `json:"messages"`
	MaxCompletionTokens *int       `json:"max_completion_tokens"`
}

// chatTurn is one message of a chat prompt.
type chatTurn struct {
	Role    string   `json:"role"`
	Content chatText `json:"content"`
}

// chatText is the content of a message, given as text or as parts that are text.
type chatText string

type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func (a chatAsk) prompt() request.Prompt {
	messages := make([]request.Message, 0, len(a.Messages))
	for _, turn := range a.Messages {
		messages = append(messages, request.Message{Role: turn.Role, Content: string(turn.Content)})
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

// choice is the one choice of an answer or of an event of it. Text is set for
// completions, Delta for chat events and Message for whole chat answers.
type choice struct {
	Index          int                   `json:"index"`
	Text           *string               `json:"text,omitempty"`
	Delta          *chatMessage          `json:"delta,omitempty"`
	Message        *chatMessage          `json:"message,omitempty"`
	FinishReason   *request.FinishReason `json:"finish_reason"`
	TokenIDs       []request.TokenID     `json:"token_ids,omitempty"`
	PromptTokenIDs []request.TokenID     `json:"prompt_token_ids,omitempty"`
}

// reply is an answer or one event of it.
type reply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Outcome is set on whole answers and on the last event.
	Outcome *request.Outcome `json:"outcome,omitempty"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

type errorReply struct {
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
