package soak

// The forms in which clients send requests, and the waits of patient ones.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"rowanyard/internal/scale/requestform"
)

// Behavior of the clients where forms and waits matter.
const (
	plainShare      = 0.5 // of the requests of impatient clients
	restShare       = 0.06
	minRest         = 2 * time.Second // about as long as a router keeps a connection on which nothing comes
	maxRest         = 2700 * time.Millisecond
	maxPieces       = 6
	maxPiecePause   = 120 * time.Millisecond
	maxSlowPause    = 1200 * time.Millisecond // in the middle of a slow body
	patientOneIn    = 4                       // clients send requests that wait long
	minPatience     = 3500 * time.Millisecond // of such a request
	maxPatience     = 16 * time.Second
	neverOneIn      = 3   // such requests get no first token
	delayMark       = "t" // before the delay of the first token, in milliseconds, at the end of a request's id
	neverAnswered   = "never"
	tokenDelaySlack = 200 * time.Millisecond
)

// drawForm draws the form of a request. HTTP/1.0 is left out: the end of a killed router's connection would end its answers as whole.
func drawForm(random *rand.Rand, patient bool) requestform.Form {
	if !patient && random.Float64() < plainShare {
		return requestform.Form{}
	}
	forms := slices.DeleteFunc(requestform.All(), func(f requestform.Form) bool { return f.Old })
	return forms[random.IntN(len(forms))]
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

// newSender returns what sends a request in its form.
func newSender(random *rand.Rand, conn net.Conn, s *clientRequest, head, body string) *requestform.Sender {
	return &requestform.Sender{Conn: conn, Form: s.form, Head: head, Body: body,
		Divide:    func(text string) []string { return pieces(random, text) },
		Pause:     func() time.Duration { return time.Duration(random.Int64N(int64(maxPiecePause))) },
		SlowPause: time.Duration(random.Int64N(int64(maxSlowPause)))}
}
