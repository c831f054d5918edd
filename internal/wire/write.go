package wire

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"rowanyard/decide"
)

// Writer prints actions.
type Writer struct{ buf bytes.Buffer }

// Take returns what was printed, closed by the batch's number, and starts anew.
func (w *Writer) Take(seq uint64) []byte {
	w.line("next", strconv.FormatUint(seq, 10))
	out := bytes.Clone(w.buf.Bytes())
	w.buf.Reset()
	return out
}

// BailOut reports that the decisions of front have failed.
func (w *Writer) BailOut(front, message string) {
	w.line("bail_out", front, strings.Join(strings.Fields(message), " "))
}

// Instance returns the actions of one front.
func (w *Writer) Instance(front string) decide.Front { return &instance{w, front} }

func (w *Writer) line(words ...string) {
	for i, word := range words {
		if i > 0 {
			w.buf.WriteByte(' ')
		}
		w.buf.WriteString(word)
	}
	w.buf.WriteByte('\n')
}

type instance struct {
	w     *Writer
	front string
}

func (i *instance) Send(id decide.RequestID, server string, timeout time.Duration) {
	i.w.line("relay", i.front, idText(id), server, us(timeout))
}

func (i *instance) Cancel(id decide.RequestID, attempt int) {
	i.w.line("drop_attempt", i.front, idText(id), strconv.Itoa(attempt))
}

func (i *instance) Refuse(id decide.RequestID, retryAfter time.Duration) {
	i.w.line("deny", i.front, idText(id), us(retryAfter))
}

func (i *instance) Fail(id decide.RequestID)    { i.w.line("abort", i.front, idText(id)) }
func (i *instance) Release(id decide.RequestID) { i.w.line("give_up_hold", i.front, idText(id)) }

func (i *instance) SetTimer(token uint64, at time.Duration) {
	i.w.line("set_alarm", i.front, strconv.FormatUint(token, 10), us(at))
}

func (i *instance) Probe(server string) { i.w.line("poll", i.front, server) }

func (i *instance) AskServers(watch bool) {
	if watch {
		i.w.line("tail", i.front, "1")
		return
	}
	i.w.line("refresh", i.front)
}

func idText(id decide.RequestID) string { return strconv.FormatUint(uint64(id), 10) }

func us(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }
