package httpfront

// One call to discovery: a request for the full list, if the version of the core's list is unknown, and the watch behind it.

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	pathList            = "/registry/instances"
	defaultMaxListBytes = 4 << 20
)

// Reasons for which a call is ended by this process.
var (
	errSilent        = errors.New("discovery is silent")
	errOtherAnswered = errors.New("another call was answered")
)

// discoveryCall is a call of a follower that is open. Discovery.mu guards its times.
type discoveryCall struct {
	follower *follower
	number   int   // counted from 1 at each address
	after    int64 // version of the list that the core has; used by the goroutine of the call only
	ctx      context.Context
	stop     context.CancelCauseFunc

	began     time.Time
	lastHeard time.Time     // when a line last arrived, or when the call began
	suspectAt time.Time     // a further call is made unless there is a sign of life before
	patience  time.Duration // after lastHeard it is given up, once a further call is made
	watching  bool          // the head of the watch has arrived
	answered  bool          // a line has arrived
	silent    bool          // a further call was made beside it since it began, or since a line last arrived
}

// run makes the call and applies what arrives until it ends.
func (c *discoveryCall) run() {
	err := c.readAll()
	if cause := context.Cause(c.ctx); cause != nil {
		err = cause
	}
	c.stop(nil)
	c.follower.recordEnd(c, err)
}

func (c *discoveryCall) readAll() error {
	url := "http://" + c.follower.addr + pathList
	if c.after == unknownVersion {
		if err := c.readLists(url, false); err != nil {
			return err
		}
	}
	if err := c.readLists(url+"?watch=1&after="+strconv.FormatInt(c.after, 10), true); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// readLists reads the lists of an answer to its end and applies them.
func (c *discoveryCall) readLists(url string, watch bool) error {
	req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := c.follower.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return newStatusError(res)
	}
	if watch { // what it has missed follows its head at once
		c.follower.watchBegun(c)
	}
	reader := newListReader(res.Body, cmp.Or(c.follower.discovery.MaxListBytes, defaultMaxListBytes), func() { c.stop(errSilent) })
	defer reader.stallTimer.Stop()
	reader.onUnchanged = func() { c.follower.listUnchanged(c) }
	reader.onPart = func() { c.follower.partReceived(c) }
	for {
		text, err := reader.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !reader.inValue { // it broke off between two lists, so no change was lost
			return err
		}
		if err == nil {
			err = c.applyText(text)
		}
		if err != nil { // the change is lost: request the full list next
			c.follower.changeLost(c)
			return err
		}
	}
}

// applyText parses a list and passes it to the core.
func (c *discoveryCall) applyText(text []byte) error {
	l, err := parseList(text)
	if err != nil {
		return err
	}
	if !l.Whole && l.Seq < c.after {
		return fmt.Errorf("version %d after %d: the changes in between are not known", l.Seq, c.after)
	}
	if err := c.follower.apply(c, l); err != nil {
		return err
	}
	c.after = l.Seq
	return nil
}

func newStatusError(res *http.Response) statusError {
	retryAfter, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if !(retryAfter >= 0 && retryAfter < 1e6) {
		retryAfter = 0
	}
	return statusError{res.StatusCode, time.Duration(retryAfter * float64(time.Second))}
}

// listReader reads the JSON values of an answer one by one, each on one line or indented over many. Empty lines
// between them are keep-alives. A value that has begun has to end soon, because a truncated one would swallow those
// that follow.
type listReader struct {
	src        io.Reader
	decoder    *json.Decoder
	maxBytes   int // maximum size of a value
	valueBytes int // bytes read since the last value ended
	inValue    bool
	stallTimer *time.Timer // runs within a value

	onUnchanged func() // called for each empty line
	onPart      func() // called when a part of a value arrives
}

// newListReader returns a listReader that calls onStall if a value takes longer than listTimeout.
func newListReader(src io.Reader, maxBytes int, onStall func()) *listReader {
	l := &listReader{src: src, maxBytes: maxBytes, stallTimer: time.AfterFunc(listTimeout, onStall)}
	l.stallTimer.Stop()
	l.decoder = json.NewDecoder(l)
	return l
}

// next returns the text of the next value, or io.EOF if the answer ends between two.
func (l *listReader) next() (json.RawMessage, error) {
	l.valueBytes = 0
	var text json.RawMessage
	err := l.decoder.Decode(&text)
	if err == nil {
		rest, _ := io.ReadAll(l.decoder.Buffered()) // read by the decoder already
		l.setInValue(len(bytes.TrimSpace(rest)) > 0)
	}
	return text, err
}

// Read implements io.Reader for the decoder.
func (l *listReader) Read(p []byte) (int, error) {
	if l.valueBytes >= l.maxBytes {
		return 0, fmt.Errorf("list over %d bytes", l.maxBytes)
	}
	n, err := l.src.Read(p)
	l.valueBytes += n
	switch blank := len(bytes.TrimSpace(p[:n])) == 0; {
	case l.inValue && n > 0:
		l.onPart()
	case l.inValue:
	case !blank:
		l.setInValue(true)
		l.onPart()
	case n > 0:
		l.valueBytes = 0
		l.onUnchanged()
	}
	return n, err
}

// setInValue records whether the reader is inside a value, and restarts or stops stallTimer.
func (l *listReader) setInValue(inValue bool) {
	l.inValue = inValue
	if inValue {
		l.stallTimer.Reset(listTimeout)
	} else {
		l.stallTimer.Stop()
	}
}
