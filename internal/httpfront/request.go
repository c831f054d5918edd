package httpfront

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rowanyard/decide"
)

const (
	maxTokens       = 1 << 30
	headerTxn       = "X-Txn"
	headerLane      = "X-Lane"
	headerRemaining = "X-Remaining-Ms"
)

// Classes maps the names of request classes to their numbers.
type Classes map[string]int

// ClassesOf returns Classes that number the names in their order.
func ClassesOf(names []string) Classes {
	c := make(Classes)
	for i, name := range names {
		c[name] = i
	}
	return c
}

// Parse parses a request's head and checks its body. If either is malformed it returns an error that names the part, and
// the status to answer with; such a request must not be sent to a worker.
func (c Classes) Parse(h http.Header, body []byte) (decide.Request, int, error) {
	q, err := c.parseHead(h)
	if err != nil {
		return q, http.StatusBadRequest, err
	}
	var b struct {
		Model    *string      `json:"model"`
		Stream   *bool        `json:"stream"`
		Max      *float64     `json:"max_tokens"`
		Messages nonEmptyList `json:"messages"`
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return q, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	if !b.Messages {
		return q, http.StatusBadRequest, errors.New("body: no messages")
	}
	if q.MaxOutput == 0 && b.Max != nil && *b.Max > 0 && *b.Max <= maxTokens {
		q.MaxOutput = int(*b.Max)
	}
	return q, 0, nil
}

// nonEmptyList unmarshals to whether a JSON value is a list with at least one element. It does not copy the value, which is
// most of a body.
type nonEmptyList bool

// UnmarshalJSON implements json.Unmarshaler.
func (s *nonEmptyList) UnmarshalJSON(text []byte) error {
	inside, ok := bytes.CutPrefix(text, []byte("["))
	*s = nonEmptyList(ok && len(bytes.TrimLeft(inside, " \t\r\n")) > 1)
	return nil
}

// parseHead parses the header fields that decisions depend on.
func (c Classes) parseHead(h http.Header) (decide.Request, error) {
	var q decide.Request
	for _, name := range []string{headerTxn, headerLane, "X-Entity", headerRemaining, "X-Resent", "X-Estimate", "X-Labels"} {
		if len(h.Values(name)) > 1 { // ambiguous
			return q, fmt.Errorf("%s: %d times", name, len(h.Values(name)))
		}
	}
	if id := h.Get(headerTxn); !ValidID(id) {
		return q, fmt.Errorf("%s: %q", headerTxn, id)
	}
	class, ok := c[h.Get(headerLane)]
	if !ok {
		return q, fmt.Errorf("%s: unknown class %q", headerLane, h.Get(headerLane))
	}
	q.Class = class
	left, err := strconv.ParseUint(h.Get(headerRemaining), 10, 31)
	if err != nil {
		return q, fmt.Errorf("%s: %q", headerRemaining, h.Get(headerRemaining))
	}
	q.TimeLeft = time.Duration(left) * time.Millisecond
	if q.Session, err = parseKey(h.Get("X-Entity")); err != nil {
		return q, fmt.Errorf("X-Entity: %w", err)
	}
	switch v := h.Get("X-Resent"); v {
	case "":
	case "1":
		q.ClientRetry = true
	case "again":
		q.ClientRetry, q.Resumed = true, true
	default:
		return q, fmt.Errorf("X-Resent: %q", v)
	}
	if v := h.Get("X-Estimate"); v != "" {
		us, err := strconv.ParseFloat(v, 64)
		if err != nil || !(us >= 0 && us <= math.MaxInt32*1e3) {
			return q, fmt.Errorf("X-Estimate: %q", v)
		}
		q.DurationHint = time.Duration(us * float64(time.Microsecond))
	}
	return q, parseLabels(&q, h.Get("X-Labels"))
}

// parseLabels parses X-Labels, a comma-separated list of name=value pairs, into q. Unknown names are ignored.
func parseLabels(q *decide.Request, text string) error {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return fmt.Errorf("X-Labels: %q", pair)
		}
		var err error
		switch name {
		case "prefix":
			q.Prefix, err = parseKey(value)
		case "prompt_len":
			q.PromptLength, err = parseTokens(value)
		case "prefix_len":
			q.PrefixLength, err = parseTokens(value)
		case "max_out":
			q.MaxOutput, err = parseTokens(value)
		}
		if err != nil {
			return fmt.Errorf("X-Labels: %s: %w", name, err)
		}
	}
	return nil
}

// parseTokens parses a number of tokens.
func parseTokens(text string) (int, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n <= maxTokens) {
		return 0, fmt.Errorf("not a count of tokens: %q", text)
	}
	return int(n), nil
}

// parseKey parses a key (of a session or a prefix), up to 16 hexadecimal digits. An empty text is key 0.
func parseKey(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	k, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("not a key: %q", text)
	}
	return k, nil
}

// ValidID reports whether id is a valid request id: 1 to 64 letters, digits, '-' and '_', so that it needs no escaping in a
// header or a path.
func ValidID(id string) bool {
	if id == "" || len(id) > 64 {
		return false
	}
	for _, b := range []byte(id) {
		if !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '-' || b == '_') {
			return false
		}
	}
	return true
}

// Prompt returns the prompt of a request's body: the contents of its messages, concatenated.
func Prompt(body []byte) []byte {
	var b struct {
		Messages []struct {
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if json.Unmarshal(body, &b) != nil {
		return nil
	}
	var text []byte
	for _, m := range b.Messages {
		var s string
		if json.Unmarshal(m.Content, &s) != nil { // a list of parts is used as raw JSON
			s = string(m.Content)
		}
		text = append(text, s...)
	}
	return text
}
