package httpfront

import (
	"bytes"
	"strconv"
)

// headLength returns the length of the head at the start of text, including the empty line that ends it, or 0 if the head is
// incomplete. A head that begins with an empty line consists of that line only.
func headLength(text []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(text[at:], '\n')
		if i < 0 {
			return 0
		}
		line := text[at : at+i]
		at += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
}

// framing describes how the body behind a head ends.
type framing struct {
	contentLength int64
	hasLength     bool // there was a Content-Length
	chunked       bool
}

// parseFields parses the framing in the header lines of a head, without its first line. It returns false for all that two
// parsers could understand differently: a length together with an encoding, a repeated or malformed length or encoding,
// folded lines, spaces before the colon, a lone CR. The lines for which keep returns true, or all if keep is nil, are
// appended to out.
func parseFields(head []byte, keep func(name []byte) bool, out []byte) (framing, []byte, bool) {
	var f framing
	encoded := 0
	for len(head) > 0 {
		i := bytes.IndexByte(head, '\n')
		whole := head[:i+1]
		line := bytes.TrimSuffix(head[:i], []byte("\r"))
		head = head[i+1:]
		if len(line) == 0 {
			out = append(out, whole...)
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return f, out, false
		}
		if keep != nil && !keep(name) {
			continue
		}
		if bytes.IndexByte(value, '\r') >= 0 {
			return f, out, false
		}
		out = append(out, whole...)
		value = bytes.Trim(value, " \t")
		switch {
		case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || f.hasLength {
				return f, out, false
			}
			f.contentLength, f.hasLength = int64(n), true
		case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if encoded++; encoded > 1 || !bytes.EqualFold(value, []byte("chunked")) {
				return f, out, false
			}
			f.chunked = true
		}
	}
	return f, out, !(f.hasLength && f.chunked)
}

// requestFraming parses the framing of a request's head. It returns false if the framing is ambiguous.
func requestFraming(head []byte) (framing, bool) {
	i := bytes.IndexByte(head, '\n')
	first := bytes.TrimSuffix(head[:i], []byte("\r"))
	if len(first) == 0 || bytes.IndexByte(first, '\r') >= 0 {
		return framing{}, false
	}
	f, _, ok := parseFields(head[i+1:], nil, nil)
	// HTTP/1.0 has no transfer encodings: one parser may ignore them there, another may not.
	return f, ok && (!f.chunked || bytes.HasSuffix(first, []byte(" HTTP/1.1")))
}
