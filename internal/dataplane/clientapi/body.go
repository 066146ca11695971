package clientapi

import (
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/lib/web"
)

// readBody reads the whole body, within the configured limits of size and time.
func (e *exchange) readBody() error {
	limit, timeout := e.config.Limits.BodyBytes, e.config.Limits.BodyTimeout
	control := web.ResponseController(e.writer, e.incoming)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	raw, err := io.ReadAll(io.LimitReader(e.incoming.Body, int64(limit)+1))
	switch {
	case len(raw) > limit:
		return &Rejection{Status: 413, Code: CodeBodyTooLarge, Message: fmt.Sprintf("A body of at most %d bytes is taken.", limit)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Rejection{Status: 408, Code: CodeBodySlow, Message: fmt.Sprintf("The body is expected whole within %s.", timeout)}
	case err != nil:
		return &Rejection{Status: 400, Code: CodeBodyIncomplete, Message: "The body broke off before its end."}
	}
	_ = control.SetReadDeadline(time.Time{})
	e.body, e.bodyRead = raw, true
	return nil
}

// parseBody validates a prompt's JSON body and extracts the fields that routing and admission need.
func (e *exchange) parseBody() error {
	if mediaType, _, err := mime.ParseMediaType(e.incoming.Header.Get("Content-Type")); err != nil || mediaType != "application/json" {
		return &Rejection{Status: 415, Code: CodeBadType, Message: "Content-Type application/json is expected."}
	}
	if encoding := e.incoming.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return &Rejection{Status: 415, Code: CodeBadEncoding, Message: "A prompt without Content-Encoding is expected."}
	}
	doc := gjson.ParseBytes(e.body)
	if !gjson.ValidBytes(e.body) || !doc.IsObject() {
		return &Rejection{Status: 400, Code: CodeBadJSON, Message: "A JSON object is expected."}
	}
	badPrompt := func(message string) error {
		return &Rejection{Status: 400, Code: CodeBadPrompt, Message: message}
	}
	if repeated := repeatedField(doc); repeated != "" {
		return badPrompt("The field " + strconv.Quote(repeated) + " stands there twice.")
	}
	model := doc.Get("model")
	if model.Type != gjson.String || model.Str == "" {
		return badPrompt("model: a string is expected.")
	}
	e.model = model.Str
	messages, prompt := doc.Get("messages"), doc.Get("prompt")
	switch {
	case messages.IsArray() && len(messages.Array()) > 0 && !prompt.Exists():
		e.prompt = messages.Raw
	case prompt.Type == gjson.String && !messages.Exists():
		e.prompt = prompt.Str
	default:
		return badPrompt("Either prompt, a string, or messages, a list, is expected.")
	}
	if flag := doc.Get("stream"); flag.Exists() && !flag.IsBool() {
		return badPrompt("stream: true or false is expected.")
	}
	e.wantsStream = doc.Get("stream").Bool()
	if flag := doc.Get("allow_downgrade"); flag.Exists() && !flag.IsBool() {
		return badPrompt("allow_downgrade: true or false is expected.")
	}
	tokens := doc.Get("max_tokens")
	if tokens.Type != gjson.Number || tokens.Num != math.Trunc(tokens.Num) || tokens.Num < 1 || tokens.Num > float64(e.config.Limits.Tokens) {
		return &Rejection{Status: 400, Code: CodeBadMaxTokens, Message: fmt.Sprintf("max_tokens: a whole number from 1 to %d is expected.", e.config.Limits.Tokens)}
	}
	e.maxTokens = int(tokens.Num)
	return nil
}

// repeatedField returns the name of a field that occurs more than once in an object, or "".
func repeatedField(object gjson.Result) string {
	seen := map[string]bool{}
	repeated := ""
	object.ForEach(func(name, _ gjson.Result) bool {
		if seen[name.String()] {
			repeated = name.String()
		}
		seen[name.String()] = true
		return true
	})
	return repeated
}

// lowerMaxTokens replaces the value of max_tokens in the body by loweredTo and leaves every other byte as it was.
func (e *exchange) lowerMaxTokens() {
	tokens := gjson.GetBytes(e.body, "max_tokens")
	body := make([]byte, 0, len(e.body))
	body = append(body, e.body[:tokens.Index]...)
	body = strconv.AppendInt(body, int64(e.loweredTo), 10)
	e.body = append(body, e.body[tokens.Index+len(tokens.Raw):]...)
	e.maxTokens = e.loweredTo
}
