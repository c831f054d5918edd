package httpfront

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
	maxDrainTime     = 3 * time.Second        // for reading the rest of a body that is too long after its answer ...
	drainIdleTimeout = 300 * time.Millisecond // ... which ends this long after the last byte
)

// bodyReservation is one request's share of the memory for request bodies.
type bodyReservation struct {
	front *Front
	bytes int64
}

// reserveBody reserves memory for a body of the given length, -1 if it is unknown. ok is false if the reservation exceeds
// the limit for all bodies; it must be released in either case.
func (f *Front) reserveBody(length int64) (reservation *bodyReservation, ok bool) {
	reservation = &bodyReservation{f, maxBodyBytes}
	if length >= 0 {
		reservation.bytes = min(maxBodyBytes, length)
	}
	return reservation, f.bodyMemoryUsed.Add(reservation.bytes) <= f.BodyMemory.Load()
}

// resize changes the reservation to the given number of bytes.
func (m *bodyReservation) resize(bytes int) {
	m.front.bodyMemoryUsed.Add(int64(bytes) - m.bytes)
	m.bytes = int64(bytes)
}

// release returns the whole reservation. It may be called more than once.
func (m *bodyReservation) release() { m.resize(0) }

// readBody reads a request's whole body. If that fails it returns an error and the status to answer with.
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
		// The read deadline is not reset: net/http would wait for the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		return nil, http.StatusRequestTimeout, fmt.Errorf("body: %w", err)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return buf.Bytes(), 0, nil
}

// respondTooLarge answers a request whose body is too long with 413 and reads on for a while: closing a connection with
// unread data sends a reset, which can discard the answer before the client has read it.
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
