package httpfront

// Streams that another process has handed over to this one, and those that it could not hand over: this process relays the
// rest of them from socket to socket.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/internal/acceptretry"
	"rowanyard/internal/delivery"
	"rowanyard/internal/inbound"
	"rowanyard/internal/inflight"
)

// StreamReceiver receives streams from an older process, or from its own, and relays the rest of them to their clients.
type StreamReceiver struct {
	front      *Front
	listener   *net.UnixListener // nil if the streams come from this process
	log        *slog.Logger
	retryAfter string          // the Retry-After line of refusals, may be empty
	cutCtx     context.Context // once it is done the streams are handed over to the next process

	running inflight.Counter
}

// ReceiveStreams listens on a Unix socket at path for the streams of an older process until Shutdown is called.
func (f *Front) ReceiveStreams(path string) error {
	_ = os.Remove(path)
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return err
	}
	h := &StreamReceiver{front: f, listener: listener, log: f.log, retryAfter: retryAfterLine(f.core.BusyRetryAfter()), cutCtx: f.cutCtx}
	f.mu.Lock()
	f.receiver = h
	f.mu.Unlock()
	go h.serve()
	return nil
}

// budgets returns the accounts of what clients send, nil if there are none.
func (h *StreamReceiver) budgets() *inbound.Budgets {
	if h.front == nil {
		return nil
	}
	return h.front.Input
}

// stop stops receiving streams and waits until the running ones end or ctx is done.
func (h *StreamReceiver) stop(ctx context.Context) {
	h.listener.Close()
	h.running.Wait(ctx)
}

func (h *StreamReceiver) serve() {
	for {
		c, err := acceptretry.Do(h.listener.AcceptUnix)
		if err != nil {
			return
		}
		if err := h.receiveStream(c); err != nil {
			h.log.Warn("a stream was not taken over", "err", err)
		}
		c.Close()
	}
}

// receiveStream receives one stream from c, confirms it to the older process and starts to relay it.
func (h *StreamReceiver) receiveStream(c *net.UnixConn) error {
	_ = c.SetDeadline(time.Now().Add(handOverTimeout))
	text, rights := make([]byte, maxPositionBytes), make([]byte, syscall.CmsgSpace(handOverSockets*4))
	n, m, _, _, err := c.ReadMsgUnix(text, rights)
	if errors.Is(err, io.EOF) {
		return h.answerQuery(c)
	}
	if err != nil {
		return err
	}
	var fds []int
	if all, err := syscall.ParseSocketControlMessage(rights[:m]); err == nil {
		for _, message := range all {
			got, _ := syscall.ParseUnixRights(&message)
			fds = append(fds, got...)
		}
	}
	var position streamPosition
	if err := json.Unmarshal(text[:n], &position); err != nil {
		closeAll(fds)
		return err
	}
	return h.startStream(position, fds, func() error {
		_, err := c.Write([]byte("+")) // from now on the older process may release the id
		return err
	})
}

// answerQuery answers an older process that asks whether this one takes streams over, see receivesStreams. One that ends itself
// does only if it can hand them on.
func (h *StreamReceiver) answerQuery(c *net.UnixConn) error {
	if _, ending := h.front.core.AdmissionEnd(); !ending || h.front.canHandOver() {
		return nil // the close that follows means yes
	}
	_, err := c.Write([]byte(handOverDeclined))
	return err
}

func closeAll(fds []int) {
	for _, fd := range fds {
		syscall.Close(fd)
	}
}

// startStream starts to relay the rest of a stream. fds are the sockets of its client and its worker, which it closes.
// confirm, if not nil, is called right before.
func (h *StreamReceiver) startStream(position streamPosition, fds []int, confirm func() error) error {
	var conns []net.Conn
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "handed")
		if conn, err := net.FileConn(file); err == nil {
			conns = append(conns, conn)
		}
		file.Close()
	}
	s := &receivedStream{receiver: h, id: position.ID, releaseID: h.adoptID(position.ID)}
	s.pipelined.Store(int32(position.Behind))
	var err error
	s.chunk, s.events, err = position.scanners()
	if len(conns) != handOverSockets && err == nil {
		err = fmt.Errorf("received %d sockets of %d", len(conns), handOverSockets)
	}
	if err == nil && confirm != nil {
		err = confirm()
	}
	if err != nil {
		s.releaseID()
		for _, conn := range conns {
			conn.Close()
		}
		return err
	}
	s.client, s.worker = conns[0], conns[1]
	s.waited = time.Duration(position.Waited) * time.Millisecond
	h.running.Begin()
	go func() {
		defer h.running.End()
		s.run()
	}()
	return nil
}

// adoptID reserves the id of a stream that is received until release is called.
func (h *StreamReceiver) adoptID(id string) (release func()) {
	if !ValidID(id) {
		return func() {}
	}
	return h.front.core.OpenIDs.Adopt(id)
}

// receivedStream relays the rest of a stream that an older process began.
type receivedStream struct {
	receiver       *StreamReceiver
	id             string // of the request, empty if it is not known
	releaseID      func()
	client, worker net.Conn
	chunk          chunkScanner
	events         eventScanner
	waited         time.Duration // for the next event, before this process had the stream
	nextEvent      eventClock
	pipelined      atomic.Int32 // requests that were read behind the one being answered
	clientLeft     atomic.Bool
	clientClosed   bool // the answer is complete, and the connection to the client is being closed
	handOverFailed bool // it goes on here, or breaks if clients request the rest
}

// run relays the rest of the stream and then closes the client's connection. The id is free by then: the client may send it
// again at once.
func (s *receivedStream) run() {
	defer s.closeConns()
	defer s.releaseID()
	// Once the client has left, closing the worker's connection ends the stream.
	go func() {
		s.readAhead()
		s.clientLeft.Store(true)
		s.worker.Close()
	}()
	defer context.AfterFunc(s.receiver.cutCtx, func() { _ = s.worker.SetReadDeadline(time.Now()) })()
	buf, out := make([]byte, copyBufferBytes), []byte(nil)
	s.chunk.onData = func(p []byte) { out = append(out, p...) }
	s.nextEvent.restart(s.waited)
	rechecked := false // this process was late since the latest event
	for {
		_ = s.worker.SetReadDeadline(time.Now().Add(s.nextEvent.left()))
		// This comes second, as the deadline just set may have replaced the one set by AfterFunc.
		if s.handOverDue() && !s.handOver() {
			return
		}
		n, err := s.worker.Read(buf)
		out = out[:0]
		_, ended, chunkErr := s.chunk.feed(buf[:n])
		events := s.events.events
		valid, _, eventErr := s.events.feed(out)
		writeBegan := time.Now()
		if s.events.events > events {
			s.nextEvent.restart(0)
			rechecked = false
		}
		if valid > 0 {
			if err := s.writeChunk(out[:valid]); err != nil {
				s.clientLeft.Store(true)
				s.logBroken(err)
				return
			}
		}
		s.nextEvent.excludeClient(writeBegan)
		broken := errors.Join(chunkErr, eventErr)
		if ended && broken == nil {
			broken = checkWhole(true, &s.events)
		}
		switch {
		case broken != nil:
			s.logBroken(broken)
			return
		case ended:
			s.endAnswer()
			return
		case err != nil && s.handOverDue(): // it was interrupted for this
		case errors.Is(err, os.ErrDeadlineExceeded) && s.nextEvent.left() > 0: // ... or for a handover that has been tried
		case errors.Is(err, os.ErrDeadlineExceeded) && !rechecked && hasUnreadInput(s.worker): // this process was late
			rechecked = true
			s.nextEvent.extendTo(stallRecheck)
		case err != nil:
			s.logBroken(err)
			return
		}
	}
}

func (s *receivedStream) logBroken(err error) {
	by := endedByRouter
	if s.clientLeft.Load() {
		by = endedByClient
	}
	s.receiver.log.Info("stream broke off", "handed", true, "txn", s.id, "err", err)
	s.receiver.log.Info("client connection ended", "txn", s.id, "by", by, "why", err, "handed", true)
}

// endAnswer writes the last chunk to the client and closes the connection.
func (s *receivedStream) endAnswer() {
	s.releaseID()
	_ = s.client.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, _ = s.client.Write([]byte(bodyEnd))
	s.closeClient(refusalsText(s.receiver.retryAfter, int(s.pipelined.Load())))
}

// closeClient ends the connection to the client behind a complete answer, and refuses the requests that were read behind it.
func (s *receivedStream) closeClient(refusals string) {
	if !s.handOverFailed {
		_ = s.receiver.budgets().Close(s.client, []byte(refusals), func(err error) { logLostAnswer(s.receiver.log, err) })
		s.clientClosed = true
		return
	}
	_ = delivery.Write(s.client, []byte(refusals), lastAnswerTimeout)
}

// closeConns closes both connections. After a handover that failed, their sockets may also be in the queue of a process that
// stands still, so that closing them would not end the connections.
func (s *receivedStream) closeConns() {
	for _, c := range []net.Conn{s.worker, s.client} {
		if c == s.client && s.clientClosed {
			continue
		}
		if s.handOverFailed {
			shutDown(c)
		}
		c.Close()
	}
}

// readAhead reads what the client sends until it leaves and counts the requests in it. If the older process had read
// requests already, it does not count: the data may begin in the middle of a request, and the refusal of the earlier ones
// announces the close, which covers the later ones.
func (s *receivedStream) readAhead() {
	counting := s.pipelined.Load() == 0
	var text []byte
	var counter pipelineCounter
	for buf := make([]byte, readBufferStep); ; {
		n, err := s.client.Read(buf)
		if err != nil {
			return
		}
		if text = append(text, buf[:min(n, maxReadAhead-len(text))]...); counting {
			s.pipelined.Store(int32(counter.count(text)))
		}
	}
}

// writeChunk writes p to the client as one chunk.
func (s *receivedStream) writeChunk(p []byte) error {
	_ = s.client.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	chunk := fmt.Appendf(make([]byte, 0, len(p)+16), "%x\r\n", len(p))
	_, err := s.client.Write(append(append(chunk, p...), "\r\n"...))
	return err
}

// handOverDue reports whether the stream is to be handed over to the next process.
func (s *receivedStream) handOverDue() bool {
	return s.receiver.cutCtx.Err() != nil && !s.handOverFailed
}

// handOver hands the stream over to the next process. It reports whether the stream goes on in this one.
func (s *receivedStream) handOver() (kept bool) {
	s.handOverFailed = s.sendToSuccessor() != nil
	return s.handOverFailed && !s.receiver.front.CutStreams
}

func (s *receivedStream) sendToSuccessor() error {
	client, err := dup(s.client)
	if err != nil {
		return err
	}
	defer syscall.Close(client)
	worker, err := dup(s.worker)
	if err != nil {
		return err
	}
	defer syscall.Close(worker)
	position := streamPositionOf(s.chunk, s.events)
	position.Behind, position.ID = int(s.pipelined.Load()), s.id
	position.Waited = s.nextEvent.waited().Milliseconds()
	return s.receiver.front.handOverStream(position, client, worker)
}
