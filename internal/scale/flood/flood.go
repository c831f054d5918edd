// Package flood plays clients that send as much as they can, and crowds of clients that are slow, against one router, beside
// ordinary clients whose answers it judges. All its traffic goes to the address that it is given, and ends with its context.
package flood

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what the connections of a flood or a crowd do.
type Kind string

// Floods: requests in a row at full speed, without waiting for their answers, which are read and discarded.
const (
	ManyFields     Kind = "many fields"     // heads of very many short fields
	DistinctFields Kind = "distinct fields" // heads of fields with ever new names
	NewClasses     Kind = "new classes"     // an unknown class each time
	NoID           Kind = "no id, no time"  // neither X-Txn nor X-Remaining-Ms
	MalformedIDs   Kind = "malformed ids"
	NoTimeLeft     Kind = "no time left" // sound, with 1 ms left
	UnknownPaths   Kind = "unknown paths"
	ReadyProbes    Kind = "ready probes"
	ByteChunks     Kind = "byte chunks" // bodies in chunks of one byte
	EmptyLines     Kind = "empty lines" // before each request
	NewConnections Kind = "new connections"
	UnreadAnswers  Kind = "unread answers" // bad requests whose answers are not read
	BytesOfHeads   Kind = "bytes of heads" // heads written byte by byte
)

// Floods lists the kinds of floods.
func Floods() []Kind {
	return []Kind{ManyFields, DistinctFields, NewClasses, NoID, MalformedIDs, NoTimeLeft, UnknownPaths, ReadyProbes, ByteChunks, EmptyLines,
		NewConnections, UnreadAnswers, BytesOfHeads}
}

// Crowds: many connections that are slow.
const (
	HalfBodies   Kind = "half bodies"    // most of a large body, then nothing
	SlowBodies   Kind = "slow bodies"    // a large body in small pieces
	LargeHeads   Kind = "large heads"    // requests in flight with heads as large as may be
	SlowReaders  Kind = "slow readers"   // large requests in flight whose answers are read slowly
	HalfHeads    Kind = "half heads"     // most of a head, then nothing
	PipelineGone Kind = "pipelined gone" // several requests at once, then a close with answers unread
)

// Crowds lists the kinds of crowds.
func Crowds() []Kind {
	return []Kind{HalfBodies, SlowBodies, LargeHeads, SlowReaders, HalfHeads, PipelineGone}
}

const (
	fieldCount     = 2800 // short fields of a head under 16 KB
	distinctFields = 1500 // fields with names of their own
	headFields     = 80   // fields of a large head that is accepted
	largeBody      = 200 << 10
	pieceSize      = 2 << 10
	pieceInterval  = 25 * time.Millisecond
	slowReadSize   = 64
	crowdPause     = 100 * time.Millisecond // before a connection that has ended is opened again
	dialTimeout    = 2 * time.Second
	floodBuffer    = 16 << 10
	requestTime    = 3300 // ms, of the requests of crowds
)

// Options describe a flood or a crowd.
type Options struct {
	Address     string
	Kind        Kind
	Connections int
	// Name makes the ids of this flood's requests differ from those of others.
	Name string
}

// Run plays a flood or a crowd until ctx ends.
func Run(ctx context.Context, o Options) {
	p := &player{Options: o}
	var all sync.WaitGroup
	for i := range o.Connections {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				p.connection(ctx, i, n)
			}
		})
	}
	all.Wait()
}

// player plays one flood or crowd.
type player struct {
	Options
	requests atomic.Int64
}

// connection opens one connection and uses it until it ends.
func (p *player) connection(ctx context.Context, number, round int) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", p.Address)
	if err != nil {
		pause(ctx, crowdPause)
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetWriteBuffer(floodBuffer) // what is written beyond it waits for the router
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	switch p.Kind {
	case HalfBodies, SlowBodies, LargeHeads, SlowReaders, HalfHeads, PipelineGone:
		p.crowd(ctx, conn, fmt.Sprint(p.Name, number, "n", round))
		pause(ctx, crowdPause)
	default:
		p.flood(conn)
	}
}

// flood writes requests until the connection ends.
func (p *player) flood(conn net.Conn) {
	if p.Kind == NewConnections {
		_, _ = io.WriteString(conn, p.floodRequest())
		_, _ = conn.Read(make([]byte, 1))
		return
	}
	if p.Kind != UnreadAnswers {
		go io.Copy(io.Discard, conn)
	}
	for {
		if p.Kind == BytesOfHeads {
			for _, b := range []byte(p.floodRequest()) {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
			}
			continue
		}
		var batch strings.Builder
		for batch.Len() < floodBuffer {
			batch.WriteString(p.floodRequest())
		}
		if _, err := io.WriteString(conn, batch.String()); err != nil {
			return
		}
	}
}

// distinctHeads are fields with different names, made once: making them for each request would take longer than refusing them.
var distinctHeads = func() (heads [32]string) {
	for n := range heads {
		var fields strings.Builder
		for i := range distinctFields {
			fmt.Fprintf(&fields, "f%x:b\r\n", n*distinctFields+i)
		}
		heads[n] = fields.String()
	}
	return heads
}()

const requestLine = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"

// floodRequest returns the next request of a flood.
func (p *player) floodRequest() string {
	n := p.requests.Add(1)
	body := `{"messages":[{"role":"user","content":"a"}]}`
	withBody := func(fields string) string {
		return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", requestLine, fields, len(body), body)
	}
	switch p.Kind {
	case ManyFields:
		return requestLine + strings.Repeat("a:b\r\n", fieldCount) + "\r\n"
	case DistinctFields:
		return requestLine + distinctHeads[n%int64(len(distinctHeads))] + "\r\n"
	case NewClasses:
		return withBody(fmt.Sprintf("X-Txn: %s%d\r\nX-Lane: class-%d\r\nX-Remaining-Ms: 3000\r\nX-Labels: prompt_len=10\r\n", p.Name, n, n))
	case MalformedIDs:
		return withBody(fmt.Sprintf("X-Txn: a b %d\r\nX-Lane: draft-reply\r\nX-Remaining-Ms: 3000\r\n", n))
	case NoTimeLeft:
		return withBody(fmt.Sprintf("X-Txn: %s%d\r\nX-Lane: draft-reply\r\nX-Remaining-Ms: 1\r\nX-Labels: prompt_len=10\r\n", p.Name, n))
	case UnknownPaths:
		return fmt.Sprintf("GET /p%d HTTP/1.1\r\nHost: x\r\n\r\n", n)
	case ReadyProbes:
		return "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	case ByteChunks:
		return requestLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 2000) + "0\r\n\r\n"
	case EmptyLines:
		return strings.Repeat("\r\n", 50) + withBody("")
	}
	return withBody("")
}

// crowd plays one connection of a crowd.
func (p *player) crowd(ctx context.Context, conn net.Conn, id string) {
	write := func(text string) bool { _, err := io.WriteString(conn, text); return err == nil }
	switch p.Kind {
	case HalfBodies:
		text := Request(id, "draft-reply", requestTime, largeBody, 0)
		if write(text[:len(text)*3/4]) {
			readSlowly(ctx, conn)
		}
	case SlowBodies:
		text := Request(id, "draft-reply", requestTime, largeBody, 0)
		for ; len(text) > 0 && write(text[:min(len(text), pieceSize)]); text = text[min(len(text), pieceSize):] {
			pause(ctx, pieceInterval)
		}
		readSlowly(ctx, conn)
	case LargeHeads:
		if write(Request(id, "draft-reply", requestTime, 1<<10, headFields)) {
			readSlowly(ctx, conn)
		}
	case SlowReaders:
		if write(Request(id, "draft-reply", requestTime, largeBody, 0)) {
			readSlowly(ctx, conn)
		}
	case HalfHeads:
		if write(requestLine + strings.Repeat("a:b\r\n", headFields)) {
			readSlowly(ctx, conn)
		}
	case PipelineGone:
		text := ""
		for i := range 20 {
			text += Request(fmt.Sprint(id, "p", i), "send-message", requestTime, 200, 0)
		}
		if write(text) {
			pause(ctx, crowdPause)
		}
	}
}

// readSlowly reads a few bytes at a time until the connection ends.
func readSlowly(ctx context.Context, conn net.Conn) {
	piece := make([]byte, slowReadSize)
	for ctx.Err() == nil {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		pause(ctx, pieceInterval)
	}
}

// Request returns a sound request with a body of about the given size, and a number of further fields as long as a head may
// hold.
func Request(id, class string, remainingMs, bodySize, furtherFields int) string {
	body := `{"model":"chat","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"` + strings.Repeat("x", bodySize) + `"}]}`
	var further strings.Builder
	for i := range furtherFields {
		fmt.Fprintf(&further, "F%d: %s\r\n", i, strings.Repeat("v", 150))
	}
	return fmt.Sprintf("%sContent-Type: application/json\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nX-Labels: prompt_len=%d,max_out=9\r\n%sContent-Length: %d\r\n\r\n%s",
		requestLine, id, class, remainingMs, bodySize/4, further.String(), len(body), body)
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
