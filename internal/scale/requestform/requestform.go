// Package requestform sends HTTP/1.1 requests in the forms that the protocol allows: with Expect, in chunks, in pieces, with a
// further request behind. Tests of the front and the soak's clients use it.
package requestform

import (
	"fmt"
	"io"
	"time"
)

// Form is a form of a request with a body. The zero value is a head and a body of a known length, sent at once.
type Form struct {
	Name         string
	Expect       bool // Expect: 100-continue
	Eager        bool // ... and the body is sent without being asked for
	Chunked      bool
	Trailer      bool // behind the chunks
	HeadInPieces bool
	BodyInPieces bool
	SlowBody     bool // its second half comes late
	EmptyLine    bool // before the head
	Followed     bool // by ReadinessRequest
	Close        bool // Connection: close
	Old          bool // HTTP/1.0
}

// ReadinessRequest is the request that follows one whose form is Followed.
const ReadinessRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

const emptyLine = "\r\n"

// All returns all forms.
func All() []Form {
	return []Form{{Name: "plain"}, {Name: "Expect", Expect: true}, {Name: "Expect, no wait", Expect: true, Eager: true},
		{Name: "chunked", Chunked: true}, {Name: "trailer", Chunked: true, Trailer: true}, {Name: "Expect and chunked", Expect: true, Chunked: true},
		{Name: "in pieces", HeadInPieces: true, BodyInPieces: true}, {Name: "Expect in pieces", Expect: true, HeadInPieces: true, BodyInPieces: true},
		{Name: "chunked in pieces", Chunked: true, HeadInPieces: true, BodyInPieces: true}, {Name: "slow body", SlowBody: true},
		{Name: "Expect and slow body", Expect: true, SlowBody: true}, {Name: "behind an empty line", EmptyLine: true},
		{Name: "before a further request", Followed: true}, {Name: "Connection: close", Close: true}, {Name: "HTTP/1.0", Old: true}}
}

// Text returns the head and the body of a POST request to path as they are written. fields are further lines of the head.
func (f Form) Text(path, fields, content string) (head, body string) {
	version := "1.1"
	if f.Old {
		version = "1.0"
	}
	head = fmt.Sprintf("POST %s HTTP/%s\r\nHost: x\r\n%s", path, version, fields)
	if f.EmptyLine {
		head = emptyLine + head
	}
	if f.Expect {
		head += "Expect: 100-continue\r\n"
	}
	if f.Close {
		head += "Connection: close\r\n"
	}
	if !f.Chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(content)), content
	}
	half := len(content) / 2
	body = fmt.Sprintf("%x\r\n%s\r\n%x;extension=1\r\n%s\r\n0\r\n", half, content[:half], len(content)-half, content[half:])
	if f.Trailer {
		head += "Trailer: X-Trailer\r\n"
		body += "X-Trailer: 1\r\n"
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n", body + emptyLine
}

// Sender writes one request to a connection.
type Sender struct {
	Conn       io.Writer
	Form       Form
	Head, Body string
	Divide     func(text string) []string // text that is sent in pieces
	Pause      func() time.Duration       // between two pieces
	SlowPause  time.Duration              // in the middle of a slow body

	FirstByteAt, LastByteAt time.Time // zero: not sent
}

// Send writes the request to its end, or until the connection fails. goOn is closed when the router asks for the body, or has
// answered.
func (s *Sender) Send(goOn <-chan struct{}) {
	head, body := []string{s.Head}, []string{s.Body}
	if s.Form.HeadInPieces {
		head = s.Divide(s.Head)
	}
	if s.Form.BodyInPieces {
		body = s.Divide(s.Body)
	}
	if s.Form.SlowBody {
		body = []string{s.Body[:len(s.Body)/2], s.Body[len(s.Body)/2:]}
	}
	if s.Form.Followed {
		body[len(body)-1] += ReadinessRequest
	}
	awaits := s.Form.Expect && !s.Form.Eager
	if !awaits && len(head)+len(body) == 2 {
		head, body = []string{head[0] + body[0]}, nil
	}
	if !s.write(head) {
		return
	}
	if awaits {
		<-goOn
	}
	if s.write(body) {
		s.LastByteAt = time.Now()
	}
}

// write writes the pieces of a text, with pauses between them.
func (s *Sender) write(pieces []string) bool {
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(s.pause())
		}
		if _, err := io.WriteString(s.Conn, piece); err != nil {
			return false
		}
		if s.FirstByteAt.IsZero() {
			s.FirstByteAt = time.Now()
		}
	}
	return true
}

func (s *Sender) pause() time.Duration {
	if s.Form.SlowBody {
		return s.SlowPause
	}
	return s.Pause()
}
