package extproc

import (
	"testing"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// newMessage returns the message that two bytes encode.
func newMessage(kind, more byte) *extprocv3.ProcessingRequest {
	end, m := more&1 != 0, &extprocv3.ProcessingRequest{ObservabilityMode: more&0xf0 == 0xf0}
	text := &extprocv3.HttpBody{Body: make([]byte, int(more>>1)), EndOfStream: end}
	heads := &extprocv3.HttpHeaders{EndOfStream: end}
	switch kind % 8 {
	case 0:
		m.Request = &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: heads}
	case 1, 2:
		m.Request = &extprocv3.ProcessingRequest_RequestBody{RequestBody: text}
	case 3:
		m.Request = &extprocv3.ProcessingRequest_RequestTrailers{}
	case 4:
		m.Request = &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: heads}
	case 5:
		m.Request = &extprocv3.ProcessingRequest_ResponseBody{ResponseBody: text}
	case 6:
		m.Request = &extprocv3.ProcessingRequest_ResponseTrailers{}
	}
	if kind&0x80 != 0 {
		m.ProtocolConfig = &extprocv3.ProtocolConfiguration{RequestBodyMode: modev3.ProcessingMode_BodySendMode(more >> 4 % 7), SendBodyWithoutWaitingForHeaderResponse: end}
	}
	return m
}

// Whatever the order of messages: each is rejected or follows the previous step, no body exceeds its limit, and nothing
// follows a complete body or response.
func FuzzSequence(f *testing.F) {
	for _, seed := range []string{"\x80\x10\x01\x41\x04\x00\x05\x10\x05\x01", "\x00\x00\x01\x40\x01\x41\x03\x00\x04\x01", "\x80\x41\x02\x20\x03\x00\x04\x00\x06\x00",
		"\x01\x00", "\x00\x00\x00\x00", "\x04\x00", "\x00\xf0", "\x07\x00", "\x80\x30\x01\x20\x01\x20\x01\x21\x01\x21"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		const maxBody = 100
		q := sequence{maxBody: maxBody}
		last, bytes, requestComplete, responseComplete := stepNone, 0, false, false
		for ; len(text) >= 2; text = text[2:] {
			m := newMessage(text[0], text[1])
			got, err := q.handle(m)
			if err != nil {
				return // the stream is over
			}
			if got < last || got == stepRequestHeaders && last != stepNone || last == stepNone && got != stepRequestHeaders || got == last && got != stepRequestBody && got != stepResponseBody {
				t.Fatalf("%d after %d", got, last)
			}
			if got == stepRequestBody && requestComplete || got > stepResponseHeaders && responseComplete {
				t.Fatalf("%d after the end", got)
			}
			if bytes += len(m.GetRequestBody().GetBody()); bytes > maxBody {
				t.Fatalf("%d bytes", bytes)
			}
			last, requestComplete, responseComplete = got, q.requestComplete, q.responseComplete
			if hold, override, err := q.headerAction(text[1]&2 != 0); err != nil && (hold || override) {
				t.Fatalf("%v, yet %v %v", err, hold, override)
			}
		}
	})
}
