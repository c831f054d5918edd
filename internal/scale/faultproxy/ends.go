package faultproxy

// Answers that are whole or not, as the last bytes of their framing tell.

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
)

const (
	trailerEnd    = "0\r\nX-Trailer: x\r\n\r\n" // an end with a trailer
	oneChunkBytes = 32 << 10
	headEnd       = "\r\n\r\n"
	paddingStart  = ": "
	paddingEnd    = "\n\n"
)

var errBrokenOff = errors.New("the answer is broken off")

// end returns the end of a chunked answer that the choice calls for.
func (s SpoiltAnswer) end() string {
	if s.Choice%2 == 0 {
		return chunkedEnd
	}
	return trailerEnd
}

// cutOffEnd sends events and a part of the answer's end, and then breaks off.
func (a *answerSpoiler) cutOffEnd(events string) error {
	end := a.spoilt.end()
	choice := a.spoilt.Choice / 2
	if err := a.send(events + end[:choice%uint(len(end))]); err != nil {
		return err
	}
	a.muted = true
	a.proxy.endAnswer(a.answer)
	switch Break(choice / uint(len(end)) % uint(breakCount)) {
	case BreakClose:
		return a.client.CloseWrite()
	case BreakReset:
		return errBrokenOff // the session is reset
	case BreakSilence, breakCount:
	}
	return nil
}

// sendSlowEnd sends events and the answer's end, byte by byte.
func (a *answerSpoiler) sendSlowEnd(events string) error {
	err := a.send(events)
	for _, b := range strings.SplitAfter(a.spoilt.end(), "") {
		if err == nil {
			a.pause()
			err = a.send(b)
		}
	}
	return err
}

// beginOneChunk sends a stream's head, and the part of its body that has come as the beginning of a single chunk.
func (a *answerSpoiler) beginOneChunk(b []byte) error {
	head, body, _ := strings.Cut(string(b), headEnd)
	a.chunkLeft = oneChunkBytes
	if err := a.send(fmt.Sprintf("%s%s%x\r\n", head, headEnd, oneChunkBytes)); err != nil {
		return err
	}
	return a.continueOneChunk(body)
}

// continueOneChunk passes on whole chunks of a body as a part of a single chunk. Behind the last one it fills that chunk and ends the
// body.
func (a *answerSpoiler) continueOneChunk(chunks string) error {
	whole := chunks
	isLast := strings.HasSuffix(chunks, chunkedEnd)
	if !isLast {
		whole += chunkedEnd
	}
	events, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(whole)))
	if err != nil {
		return err
	}
	a.chunkLeft -= len(events)
	text := string(events)
	if isLast {
		text += paddingStart + strings.Repeat(filler, a.chunkLeft-len(paddingStart)-len(paddingEnd)) + paddingEnd + "\r\n" + a.spoilt.end()
		a.chunkLeft = 0
	}
	a.pause()
	return a.send(text)
}
