package soak

// The forms in which clients send requests, and the waits of patient ones.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// requestForm is a form in which a client sends a request.
type requestForm int

const (
	plainForm         requestForm = iota
	expectForm                    // Expect: 100-continue, and the body when the router asks for it
	expectEagerForm               // Expect: 100-continue, and the body at once
	chunkedForm                   // a body in chunks
	expectChunkedForm             // both
	headInPiecesForm
	bodyInPiecesForm
	emptyLineForm // an empty line before the head
	followedForm  // a further request behind the body, for the readiness page
	requestForms  // how many there are
)

// Behavior of the clients where forms and waits matter.
const (
	plainShare      = 0.5 // of the requests of impatient clients
	restShare       = 0.03
	minRest         = 2 * time.Second // about as long as a router keeps a connection on which nothing comes
	maxRest         = 2700 * time.Millisecond
	maxPieces       = 6
	maxPiecePause   = 120 * time.Millisecond
	patientOneIn    = 4                       // clients send requests that wait long
	minPatience     = 3500 * time.Millisecond // of such a request
	maxPatience     = 16 * time.Second
	neverOneIn      = 3 // such requests get no first token
	readinessText   = "GET /health/ready HTTP/1.1\r\nHost: soak\r\n\r\n"
	delayMark       = "t" // before the delay of the first token, in milliseconds, at the end of a request's id
	neverAnswered   = "never"
	tokenDelaySlack = 200 * time.Millisecond
)

func (f requestForm) expects() bool {
	return f == expectForm || f == expectEagerForm || f == expectChunkedForm
}

func (f requestForm) isChunked() bool { return f == chunkedForm || f == expectChunkedForm }

// awaitsContinue reports whether the client sends the body only once it is asked to.
func (f requestForm) awaitsContinue() bool { return f == expectForm || f == expectChunkedForm }

// drawForm draws the form of a request.
func drawForm(random *rand.Rand, patient bool) requestForm {
	if !patient && random.Float64() < plainShare {
		return plainForm
	}
	return requestForm(random.IntN(int(requestForms)))
}

// drawPatience draws how long a patient client waits for the first token, and the end of its request's id, which tells workers when
// to write that.
func drawPatience(random *rand.Rand) (wait time.Duration, idEnd string) {
	wait = minPatience + time.Duration(random.Int64N(int64(maxPatience-minPatience)))
	if random.IntN(neverOneIn) == 0 {
		return wait, delayMark + neverAnswered
	}
	delay := time.Duration(random.Int64N(int64(wait - tokenDelaySlack)))
	return wait, fmt.Sprint(delayMark, delay.Milliseconds())
}

// firstTokenDelay implements standin.Options.FirstTokenDelay.
func firstTokenDelay(id string) time.Duration {
	_, text, found := strings.Cut(id, delayMark)
	if !found {
		return 0
	}
	delay, err := strconv.Atoi(text)
	if err != nil { // neverAnswered
		return -1
	}
	return time.Duration(delay) * time.Millisecond
}

// pieces divides a text at random places.
func pieces(random *rand.Rand, text string) (all []string) {
	for n := 1 + random.IntN(maxPieces); n > 1 && len(text) > 1; n-- {
		at := 1 + random.IntN(len(text)-1)
		all = append(all, text[:at])
		text = text[at:]
	}
	return append(all, text)
}

// requestSender writes one request to a connection.
type requestSender struct {
	conn       net.Conn
	head, body string
	form       requestForm
	random     *rand.Rand
	goOn       <-chan struct{} // closed when the router asks for the body, or has answered

	firstByteAt, lastByteAt time.Time // zero: not sent
}

// send writes the request to its end, or until the connection fails.
func (s *requestSender) send() {
	head, body := []string{s.head}, []string{s.body}
	switch s.form {
	case headInPiecesForm:
		head = pieces(s.random, s.head)
	case bodyInPiecesForm:
		body = pieces(s.random, s.body)
	case emptyLineForm:
		head[0] = "\r\n" + s.head
	case followedForm:
		body[0] += readinessText
	}
	if !s.form.awaitsContinue() && len(head)+len(body) == 2 {
		head, body = []string{head[0] + body[0]}, nil
	}
	if !s.write(head) {
		return
	}
	if s.form.awaitsContinue() {
		<-s.goOn
	}
	if s.write(body) {
		s.lastByteAt = time.Now()
	}
}

// write writes the pieces of a text, with pauses between them.
func (s *requestSender) write(all []string) bool {
	for i, piece := range all {
		if i > 0 {
			time.Sleep(time.Duration(s.random.Int64N(int64(maxPiecePause))))
		}
		if _, err := io.WriteString(s.conn, piece); err != nil {
			return false
		}
		if s.firstByteAt.IsZero() {
			s.firstByteAt = time.Now()
		}
	}
	return true
}
