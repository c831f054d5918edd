package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/inbound"
	"rowanyard/internal/scale/requestform"
)

// clientRequest is one request as its client saw it.
type clientRequest struct {
	id                string
	router            int
	nonIdempotent     bool
	form              requestform.Form
	firstByteAt       time.Time     // when its first byte was written
	at                time.Time     // when its last byte was written
	endedCleanly      bool          // the connection was not reset as it ended without a response
	lostFurther       bool          // a further request behind it got no response although the connection was to stay open
	firstTokenTimeout time.Duration // deadline for the first token, in X-Remaining-Ms
	ended             time.Time     // when the last byte of its response came or its connection ended
	status            int           // 0: no response came
	complete          bool          // the response was received to its end
	answeredAt        time.Time     // when the head of its response came; zero: none came
	eventsAt          []time.Time   // when each event of its response came
	lastEventAt       time.Time     // when the last event of its response came; zero: none came
	foreignEvents     int           // events of the response with another request's text
	readSlowly        bool          // by its client
	promptBytes       int           // length of its prompt
	disconnectedAt    time.Time     // when its client closed the connection early; zero: it did not
	returnedAt        time.Time     // when that client sent it again under its id; zero: it did not
	reusedConn        bool          // its connection had served an earlier request
	incarnations      [2]int        // of the router's process, before and after the request
}

// hasReturnedBy reports whether the client had left and sent the request again by a time.
func (s *clientRequest) hasReturnedBy(at time.Time) bool {
	return !s.returnedAt.IsZero() && at.After(s.returnedAt.Add(-logTimePrecision))
}

// Behavior of the clients.
const (
	returnShare     = 0.5 // of the clients that have closed their connection early
	maxReturnPause  = 300 * time.Millisecond
	slowReadShare   = 0.05
	slowReadBytes   = 100
	slowReadPause   = 20 * time.Millisecond
	largeShare      = 0.15   // of the requests have a long prompt
	minLargePrompt  = 30_000 // bytes, more than a stalled worker's machine holds
	maxLargePrompt  = 240_000
	meanThinkTime   = 60 * time.Millisecond
	disconnectShare = 0.08
	responseTimeout = 24 * time.Second // a client closes its connection if no response has come by then
	dialTimeout     = 500 * time.Millisecond
)

// client sends requests one after the other, over one connection at a time.
type client struct {
	harness        *deployment
	router         int
	number         int
	random         *rand.Rand
	conn           net.Conn
	reader         *bufio.Reader
	requestsOnConn int // requests sent over the current connection
}

// requestLog collects the finished requests of all clients of a run.
type requestLog struct {
	mu       sync.Mutex
	finished []*clientRequest
}

func (c *requestLog) add(s *clientRequest) {
	c.mu.Lock()
	c.finished = append(c.finished, s)
	c.mu.Unlock()
}

// run sends requests until ctx ends. Its connections stay open for as long as the router keeps them.
func (c *client) run(ctx context.Context, log *requestLog) {
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		thinkTime := time.Duration(c.random.Int64N(int64(2 * meanThinkTime)))
		s := c.nextRequest(n)
		if c.random.Float64() < restShare {
			thinkTime = minRest + time.Duration(c.random.Int64N(int64(maxRest-minRest)))
			s.form.HeadInPieces = c.random.IntN(2) == 0 // so that its head crosses the end of the rest
		}
		disconnectAfter := time.Duration(0)
		if c.random.Float64() < disconnectShare {
			disconnectAfter = time.Duration(1 + c.random.Int64N(int64(400*time.Millisecond)))
		}
		time.Sleep(thinkTime)
		if !c.connect() {
			continue
		}
		c.send(s, disconnectAfter)
		if !s.firstByteAt.IsZero() {
			log.add(s)
		}
		log.mu.Lock() // a disconnect that comes as the request ends may still be recorded
		disconnected := !s.disconnectedAt.IsZero()
		log.mu.Unlock()
		if disconnected && c.random.Float64() < returnShare {
			time.Sleep(time.Duration(c.random.Int64N(int64(maxReturnPause))))
			c.sendAgain(s)
		}
	}
}

// sendAgain sends a request whose client has left once more under its id. What comes back is not judged, but it must not run
// twice.
func (c *client) sendAgain(s *clientRequest) {
	c.close()
	if !c.connect() {
		return
	}
	c.harness.requestLog.mu.Lock()
	s.returnedAt = time.Now()
	c.harness.requestLog.mu.Unlock()
	again := *s
	c.send(&again, 0)
}

// slowReader reads a few bytes at a time.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return r.Reader.Read(p[:min(len(p), slowReadBytes)])
}

// nextRequest draws the n-th request.
func (c *client) nextRequest(n int) *clientRequest {
	s := &clientRequest{id: fmt.Sprintf("r%dc%dn%d", c.router, c.number, n), router: c.router, nonIdempotent: c.random.IntN(2) == 0}
	patient := c.number%patientOneIn == 0
	s.form = drawForm(c.random, patient)
	s.firstTokenTimeout = 1500*time.Millisecond + time.Duration(c.random.Int64N(int64(1400*time.Millisecond)))
	if patient {
		wait, idEnd := drawPatience(c.random)
		s.firstTokenTimeout = wait
		s.id += idEnd
	}
	if c.random.Float64() < largeShare {
		s.promptBytes = minLargePrompt + c.random.IntN(maxLargePrompt-minLargePrompt)
	}
	return s
}

// connect opens a connection if there is none that the router keeps open, and the router admits new clients.
func (c *client) connect() bool {
	if c.conn != nil && !inbound.PeerClosed(c.conn) {
		return true
	}
	c.close()
	r := c.harness.routers[c.router]
	if !r.isAdmitting() {
		return false
	}
	conn, err := net.DialTimeout("tcp", r.address, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.requestsOnConn = conn, bufio.NewReader(conn), 0
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads its response to the end. If disconnectAfter is not zero, it closes the connection
// after that time.
func (c *client) send(s *clientRequest, disconnectAfter time.Duration) {
	r := c.harness.routers[c.router]
	s.reusedConn, s.incarnations[0] = c.requestsOnConn > 0, r.currentIncarnation()
	defer func() { s.ended, s.incarnations[1] = time.Now(), r.currentIncarnation() }()
	goOn, sent := make(chan struct{}), make(chan struct{})
	head, body := c.rawRequest(s)
	conn := c.conn
	sender := newSender(rand.New(rand.NewPCG(c.random.Uint64(), 0)), conn, s, head, body)
	var disconnect *time.Timer
	go func() {
		defer close(sent)
		sender.Send(goOn)
		if disconnectAfter > 0 && !sender.LastByteAt.IsZero() {
			disconnect = c.disconnectLater(s, conn, disconnectAfter)
		}
	}()
	_ = c.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	asked := sync.OnceFunc(func() { close(goOn) })
	staysOpen := c.receive(s, asked)
	answeredAt := time.Now()
	asked()
	if !staysOpen {
		c.close() // which ends what is still being sent
	}
	<-sent
	s.firstByteAt, s.at = sender.FirstByteAt, sender.LastByteAt
	if s.at.IsZero() && !s.firstByteAt.IsZero() { // it got its response, or the end of the connection, before that
		s.at = answeredAt
	}
	if disconnect != nil {
		disconnect.Stop()
	}
}

// disconnectLater closes the connection after some time.
func (c *client) disconnectLater(s *clientRequest, conn net.Conn, after time.Duration) *time.Timer {
	return time.AfterFunc(after, func() {
		c.harness.requestLog.mu.Lock()
		s.disconnectedAt = time.Now()
		c.harness.requestLog.mu.Unlock()
		conn.Close()
	})
}

// receive reads the response to a request. It calls askedForBody when the router asks for the body, and reports whether the connection
// stays open.
func (c *client) receive(s *clientRequest, askedForBody func()) (staysOpen bool) {
	res, err := http.ReadResponse(c.reader, nil)
	for err == nil && res.StatusCode == http.StatusContinue {
		askedForBody()
		res, err = http.ReadResponse(c.reader, nil)
	}
	if err != nil {
		s.endedCleanly = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		return false
	}
	s.status, s.answeredAt = res.StatusCode, time.Now()
	body := io.Reader(res.Body)
	if s.readSlowly = c.random.Float64() < slowReadShare; s.readSlowly {
		body = slowReader{body}
	}
	err = s.readEvents(body)
	s.complete = err == nil
	c.requestsOnConn++
	if err != nil || res.Close {
		return false
	}
	if !s.form.Followed {
		return true
	}
	further, err := http.ReadResponse(c.reader, nil)
	if s.lostFurther = err != nil; s.lostFurther {
		return false
	}
	_, err = io.Copy(io.Discard, further.Body)
	return err == nil && !further.Close
}

// contentField is in each event that holds text.
const contentField = `"content":"`

// readEvents reads the response to its end and notes when its last event came, and whether all texts were made for this request.
func (s *clientRequest) readEvents(body io.Reader) error {
	own := contentField + s.id + "."
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			s.lastEventAt = time.Now()
			s.eventsAt = append(s.eventsAt, s.lastEventAt)
			if strings.Contains(line, contentField) && !strings.Contains(line, own) {
				s.foreignEvents++
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// rawRequest returns the head and the body of the request as written to the wire.
func (c *client) rawRequest(s *clientRequest) (head, body string) {
	class := "draft-reply"
	if s.nonIdempotent {
		class = "send-message"
	}
	content := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":9,"messages":[{"role":"system","content":"%s"},{"role":"user","content":"%s"}]}`,
		strings.Repeat("x", s.promptBytes), s.id)
	fields := fmt.Sprintf("Content-Type: application/json\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %016x\r\nX-Remaining-Ms: %d\r\n"+
		"X-Labels: prefix=%016x,prompt_len=40,prefix_len=20,max_out=9\r\n", s.id, class, c.number+1, s.firstTokenTimeout.Milliseconds(), s.id[1])
	return s.form.Text(httpfront.PathChat, fields, content)
}
