package wire

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"rowanyard/decide"
)

// Writer collects the actions of a batch in the simulator's line format. The zero value is ready to use.
type Writer struct{ buf bytes.Buffer }

// EndBatch returns the lines written since the last call, followed by the line that ends batch seq, and empties the buffer.
func (w *Writer) EndBatch(seq uint64) []byte {
	w.line("next", strconv.FormatUint(seq, 10))
	out := bytes.Clone(w.buf.Bytes())
	w.buf.Reset()
	return out
}

// ReportFailure reports that the named router instance has failed. The message is folded into one line.
func (w *Writer) ReportFailure(instanceName, message string) {
	w.line("bail_out", instanceName, strings.Join(strings.Fields(message), " "))
}

// Instance returns a decide.Executor that writes the actions of the named router instance to w.
func (w *Writer) Instance(instanceName string) decide.Executor { return &instance{w, instanceName} }

func (w *Writer) line(words ...string) {
	for i, word := range words {
		if i > 0 {
			w.buf.WriteByte(' ')
		}
		w.buf.WriteString(word)
	}
	w.buf.WriteByte('\n')
}

// instance implements decide.Executor.
type instance struct {
	writer *Writer
	name   string
}

func (i *instance) Send(id decide.RequestID, server string, timeout time.Duration) {
	i.writer.line("relay", i.name, idText(id), server, microsText(timeout))
}

func (i *instance) Cancel(id decide.RequestID, attempt int) {
	i.writer.line("drop_attempt", i.name, idText(id), strconv.Itoa(attempt))
}

func (i *instance) Refuse(id decide.RequestID, retryAfter time.Duration) {
	i.writer.line("deny", i.name, idText(id), microsText(retryAfter))
}

func (i *instance) Fail(id decide.RequestID)    { i.writer.line("abort", i.name, idText(id)) }
func (i *instance) Release(id decide.RequestID) { i.writer.line("give_up_hold", i.name, idText(id)) }

func (i *instance) SetTimer(token uint64, at time.Duration) {
	i.writer.line("set_alarm", i.name, strconv.FormatUint(token, 10), microsText(at))
}

func (i *instance) Probe(server string) { i.writer.line("poll", i.name, server) }

func (i *instance) RequestServerList(watch bool) {
	if watch {
		i.writer.line("tail", i.name, "1")
		return
	}
	i.writer.line("refresh", i.name)
}

func idText(id decide.RequestID) string { return strconv.FormatUint(uint64(id), 10) }

func microsText(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }
