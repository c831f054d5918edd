package httpfront

// This file reads a request's head and body into the values that the core knows. What is malformed is named, and nothing is
// sent for it.

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
	maxTokens  = 1 << 30
	headTxn    = "X-Txn"
	headerLane = "X-Lane"
	headLeft   = "X-Remaining-Ms"
)

// Classes are the numbers of the classes by their names.
type Classes map[string]int

// ClassesOf numbers the classes with these names.
func ClassesOf(names []string) Classes {
	c := make(Classes)
	for i, name := range names {
		c[name] = i
	}
	return c
}

// Parse reads a request's head and checks its body. What is malformed is told to the client, with
// the status that is returned, and nothing is sent for it.
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

// nonEmptyList says that a list is there and holds something. Its text, most of a body, is not copied.
type nonEmptyList bool

// UnmarshalJSON implements json.Unmarshaler.
func (s *nonEmptyList) UnmarshalJSON(text []byte) error {
	inside, ok := bytes.CutPrefix(text, []byte("["))
	*s = nonEmptyList(ok && len(bytes.TrimLeft(inside, " \t\r\n")) > 1)
	return nil
}

// parseHead reads the values that decisions rest on from a request's head.
func (c Classes) parseHead(h http.Header) (decide.Request, error) {
	var q decide.Request
	for _, name := range []string{headTxn, headerLane, "X-Entity", headLeft, "X-Resent", "X-Estimate", "X-Labels"} {
		if len(h.Values(name)) > 1 { // which one counts would be anybody's guess
			return q, fmt.Errorf("%s: %d times", name, len(h.Values(name)))
		}
	}
	if id := h.Get(headTxn); !ValidID(id) {
		return q, fmt.Errorf("%s: %q", headTxn, id)
	}
	class, ok := c[h.Get(headerLane)]
	if !ok {
		return q, fmt.Errorf("%s: unknown class %q", headerLane, h.Get(headerLane))
	}
	q.Class = class
	left, err := strconv.ParseUint(h.Get(headLeft), 10, 31)
	if err != nil {
		return q, fmt.Errorf("%s: %q", headLeft, h.Get(headLeft))
	}
	q.TimeLeft = time.Duration(left) * time.Millisecond
	if q.Session, err = parseKey(h.Get("X-Entity")); err != nil {
		return q, fmt.Errorf("X-Entity: %w", err)
	}
	switch v := h.Get("X-Resent"); v {
	case "":
	case "1":
		q.Repeat = true
	case "again":
		q.Repeat, q.Resumed = true, true
	default:
		return q, fmt.Errorf("X-Resent: %q", v)
	}
	if v := h.Get("X-Estimate"); v != "" {
		us, err := strconv.ParseFloat(v, 64)
		if err != nil || !(us >= 0 && us <= math.MaxInt32*1e3) {
			return q, fmt.Errorf("X-Estimate: %q", v)
		}
		q.Hint = time.Duration(us * float64(time.Microsecond))
	}
	return q, parseLabels(&q, h.Get("X-Labels"))
}

// parseLabels reads the pairs of X-Labels. Labels that it does not know are passed over.
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
			q.Prompt, err = parseTokens(value)
		case "prefix_len":
			q.PrefixLen, err = parseTokens(value)
		case "max_out":
			q.MaxOutput, err = parseTokens(value)
		}
		if err != nil {
			return fmt.Errorf("X-Labels: %s: %w", name, err)
		}
	}
	return nil
}

func parseTokens(text string) (int, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n <= maxTokens) {
		return 0, fmt.Errorf("not a count of tokens: %q", text)
	}
	return int(n), nil
}

// parseKey reads a parseKey of up to 16 hex digits; none is 0.
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

// ValidID says that an id can stand in a head and in a path as it is.
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

// Prompt is the text that a request's body has readers read: its messages, one after the other.
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
		if json.Unmarshal(m.Content, &s) != nil { // parts: as they stand
			s = string(m.Content)
		}
		text = append(text, s...)
	}
	return text
}
