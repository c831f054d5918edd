package httpfront

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"rowanyard/internal/inbound"
)

const (
	maxBodyBytes     = 256 << 10
	maxHeadBytes     = 16 << 10
	maxDrainTime     = 3 * time.Second        // for reading the rest of a body that is too long after its answer ...
	drainIdleTimeout = 300 * time.Millisecond // ... which ends this long after the last byte
)

// errBodyMemory is returned where a body would hold more memory than there is for all of them.
var errBodyMemory = errors.New("too many bodies are held")

// Room for a body, the rest of which may never come.
const (
	firstBodyRoom = 32 << 10 // until that much has come
	laterBodyRoom = 64 << 10 // after that, for a body of unknown length, at first
)

// readBody reads a request's whole body, and accounts for it as it comes. If that fails it returns an error and the status to
// answer with.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, memory *inbound.Holding) ([]byte, int, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body: %d bytes", r.ContentLength)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := bodyRoom(cap(body), int(r.ContentLength))
			if !f.holdBody(memory, grown) {
				return nil, http.StatusServiceUnavailable, errBodyMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBodyBytes:
			return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body: over %d bytes", maxBodyBytes)
		case err == io.EOF:
			return body, 0, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The read deadline stays over: net/http would wait for the rest of the body before it answers.
			w.Header().Set("Connection", "close")
			return nil, http.StatusRequestTimeout, fmt.Errorf("body: %w", err)
		case err != nil:
			return nil, http.StatusBadRequest, fmt.Errorf("body: %w", err)
		}
	}
}

// bodyRoom returns how much room to make for a body for which there is some, of a length that is -1 if it is not known. One byte
// more than the length shows the end.
func bodyRoom(now, length int) int {
	switch {
	case length >= 0 && (now > 0 || length < firstBodyRoom):
		return length + 1
	case now == 0:
		return firstBodyRoom
	}
	return min(max(2*now, laterBodyRoom), maxBodyBytes+1)
}

// holdBody accounts for the bytes of a body. Where there is no memory for them, a connection whose body has been incomplete for
// some time gives way. It returns false if there is none.
func (f *Front) holdBody(memory *inbound.Holding, bytes int) bool {
	f.mu.Lock()
	clients := f.clients
	f.mu.Unlock()
	for !memory.Resize(int64(bytes)) {
		if clients == nil || !clients.evictIncompleteBody() {
			return false
		}
	}
	return true
}

// refuseUnread refuses a request whose body has not been read, and does not wait for it.
func (f *Front) refuseUnread(w http.ResponseWriter, r *http.Request, why string) {
	f.log.Info("refused", "why", why, "txn", r.Header.Get(headerTxn))
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	setRetryAfter(w.Header(), f.core.BusyRetryAfter())
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(drainIdleTimeout))
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
