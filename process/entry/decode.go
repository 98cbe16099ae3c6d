package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"github.com/mulberrylane/mulberrylane/connection/graceful"
	"github.com/mulberrylane/mulberrylane/fault"
	"github.com/mulberrylane/mulberrylane/request"
)

// defaultMaxTokens is the output length when the caller sets none, as in the API.
const defaultMaxTokens = 16

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(data []byte) error {
	texts, err := textOrList(data)
	if err != nil || len(texts) != 1 {
		return errors.New("prompt must be one text")
	}
	*p = promptText(texts[0])
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *messageContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*t = messageContent(text)
		return nil
	}
	var parts []textPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("the content of a message must be text or a list of text parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Errorf("a message part of type %q is not served", part.Type)
		}
		*t += messageContent(part.Text)
	}
	return nil
}

func textOrList(data []byte) ([]string, error) {
	if string(data) == "null" {
		return nil, nil
	}
	var one string
	if json.Unmarshal(data, &one) == nil {
		return []string{one}, nil
	}
	var many []string
	err := json.Unmarshal(data, &many)
	return many, errors.WithStack(err)
}

// bodyReadTimeout is how long a caller may take to send the request body.
const bodyReadTimeout = 30 * time.Second

// readBody reads a request body, decodes it into destination and returns the raw
// bytes.
func readBody(c *gin.Context, destination any) ([]byte, error) {
	controller := http.NewResponseController(c.Writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	data, err := io.ReadAll(c.Request.Body)
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.Is(err, os.ErrDeadlineExceeded) && !graceful.Account(c.Request.Context()).Yielded() {
		return nil, fault.New(fault.SlowCaller, "the body did not arrive within %s", bodyReadTimeout)
	}
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, errBodyYielded) || graceful.Account(c.Request.Context()).Yielded() {
		return nil, fault.Wrap(fault.Overloaded, err, errBodyYielded.Error())
	}
	if err != nil {
		return nil, fault.Wrap(fault.CallerGone, err, "the body broke off")
	}
	if err := json.Unmarshal(data, destination); err != nil {
		return nil, fault.New(fault.BadRequest, "the body is not valid: %v", err)
	}
	return data, nil
}

func (r completionAsk) sampling(limit int) (request.Sampling, error) {
	if r.N > 1 {
		return request.Sampling{}, fault.New(fault.BadRequest, "n: only one choice is served")
	}
	if err := r.checkUnsupported(); err != nil {
		return request.Sampling{}, err
	}
	maxTokens := defaultMaxTokens
	if r.MaxTokens != nil {
		maxTokens = *r.MaxTokens
	}
	if maxTokens < 1 {
		return request.Sampling{}, fault.New(fault.BadRequest, "max_tokens: must be at least 1")
	}
	if limit > 0 && maxTokens > limit {
		return request.Sampling{}, fault.New(fault.BadRequest, "max_tokens: %d is over the limit of %d", maxTokens, limit)
	}
	temperature := 1.0
	if r.Temperature != nil {
		temperature = *r.Temperature
	}
	return request.Sampling{MaxTokens: maxTokens, Temperature: temperature, TopP: r.TopP, Seed: r.Seed}, nil
}
