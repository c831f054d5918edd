package httpfront

// This file reads the bodies of requests, and answers those that are too long.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	maxBodyBytes     = 256 << 10
	maxHeadBytes     = 16 << 10
	maxDrainTime     = 3 * time.Second        // a body that is too long is read for so long after its answer ...
	drainIdleTimeout = 300 * time.Millisecond // ... and no longer than this after its last byte
)

// bodyReservation is what one request's body takes of the bytes that bodies may hold at once.
type bodyReservation struct {
	front *Front
	bytes int64
}

// reserveBody takes memory for a body of a told length, -1 = not told. It says no where too much is held already: guards the
// memory limit against many large bodies at once.
func (f *Front) reserveBody(length int64) (memory *bodyReservation, ok bool) {
	memory = &bodyReservation{f, maxBodyBytes}
	if length >= 0 {
		memory.bytes = min(maxBodyBytes, length)
	}
	return memory, f.bodyMemoryUsed.Add(memory.bytes) <= f.Bodies.Load()
}

// resize keeps what a body of so many bytes takes.
func (m *bodyReservation) resize(bytes int) {
	m.front.bodyMemoryUsed.Add(int64(bytes) - m.bytes)
	m.bytes = int64(bytes)
}

// release gives everything back.
func (m *bodyReservation) release() { m.resize(0) }

// readBody reads a request's body whole. Where it can't, the status says what the client is told.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body: %d bytes", r.ContentLength)
	}
	var buf bytes.Buffer
	if n := r.ContentLength; n > 0 && n <= maxBodyBytes {
		buf.Grow(int(n) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(r.Body, maxBodyBytes+1))
	switch {
	case n > maxBodyBytes:
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body: over %d bytes", maxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline stays: net/http would wait for the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		return nil, http.StatusRequestTimeout, fmt.Errorf("body: %w", err)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return buf.Bytes(), 0, nil
}

// respondTooLarge answers a body that is too long, and reads on for a while: closing with bytes unread makes a
// reset, which can eat the answer before its client has read it.
func respondTooLarge(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	if control.Flush() != nil {
		return
	}
	junk := make([]byte, 32<<10)
	for end := time.Now().Add(maxDrainTime); time.Now().Before(end); {
		_ = control.SetReadDeadline(time.Now().Add(drainIdleTimeout))
		if _, err := r.Body.Read(junk); err != nil {
			return
		}
	}
}
