package extproc

import (
	"errors"
	"fmt"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// step is the kind of a message in the sequence of a request. Steps are ordered.
type step int

const (
	stepNone step = iota
	stepRequestHeaders
	stepRequestBody     // a chunk of the request's body; the last one if sequence.requestComplete is set
	stepRequestTrailers // trailers of the request
	stepResponseHeaders // headers of the response
	stepResponseBody
	stepResponseTrailers
)

// Reasons for rejecting a message.
var (
	errObservability  = errors.New("observability_mode: what only observes can't be told where to go")
	errOrder          = errors.New("a message out of order")
	errUnknownMessage = errors.New("a message of a kind that is not known")
	errBodyTooLong    = errors.New("the body is too long")
	errBodyTruncated  = errors.New("the proxy has cut the body off")
	errNoRequestBody  = errors.New("request_body_mode: the prompt is needed to have it read, and the mode can't be overridden")
	errHeadersFirst   = errors.New("request_body_mode STREAMED: the head goes out before the prompt has come, unless " +
		"send_body_without_waiting_for_header_response is set or the mode can be overridden")
	errUnknownMode = errors.New("a processing mode that is not known")
)

// modes describes how a proxy sends bodies.
type modes struct {
	requestMode, responseMode modev3.ProcessingMode_BodySendMode
	earlyBody                 bool // the body is sent without waiting for the answer to the headers
}

// headerAction returns how to answer the request's headers so that the body arrives before the request is forwarded: at
// once, only after the whole body (hold), or with a change of the processing mode (override).
func (m modes) headerAction(mayOverride bool) (hold, override bool, err error) {
	switch m.requestMode {
	case modev3.ProcessingMode_BUFFERED, modev3.ProcessingMode_BUFFERED_PARTIAL:
		return false, false, nil
	case modev3.ProcessingMode_FULL_DUPLEX_STREAMED:
		return true, false, nil
	case modev3.ProcessingMode_STREAMED:
		if m.earlyBody {
			return true, false, nil
		}
		err = errHeadersFirst
	case modev3.ProcessingMode_NONE:
		err = errNoRequestBody
	default:
		return false, false, fmt.Errorf("%w: %v", errUnknownMode, m.requestMode)
	}
	if mayOverride {
		return false, true, nil
	}
	return false, false, err
}

// sequence checks the order of a proxy's messages for one request in each of ext_proc's processing modes, and the size of
// the request's body. It does no I/O, sends no answers and reads no clock.
type sequence struct {
	modes
	maxBody          int // limit of the request's body in bytes
	lastStep         step
	requestComplete  bool // the request's body is complete
	responseComplete bool // the response is complete
	bodyBytes        int
	chunks           int
	started          bool
}

// handle returns the step of a message, or an error if the message is not allowed at this point.
func (q *sequence) handle(msg *extprocv3.ProcessingRequest) (step, error) {
	if msg.GetObservabilityMode() {
		return stepNone, errObservability
	}
	if c := msg.GetProtocolConfig(); c != nil && !q.started { // sent with the first message
		q.modes = modes{c.RequestBodyMode, c.ResponseBodyMode, c.SendBodyWithoutWaitingForHeaderResponse}
	}
	next := stepNone
	switch m := msg.GetRequest().(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		if q.started {
			return stepNone, fmt.Errorf("%w: a second head", errOrder)
		}
		next = stepRequestHeaders
		q.requestComplete = m.RequestHeaders.GetEndOfStream()
	case *extprocv3.ProcessingRequest_RequestBody:
		if q.lastStep != stepRequestHeaders && q.lastStep != stepRequestBody || q.requestComplete {
			return stepNone, fmt.Errorf("%w: a part of the request's body", errOrder)
		}
		if q.bodyBytes += len(m.RequestBody.GetBody()); q.bodyBytes > q.maxBody {
			return stepNone, errBodyTooLong
		}
		q.chunks++
		next = stepRequestBody
		q.requestComplete = m.RequestBody.GetEndOfStream()
		switch q.requestMode {
		case modev3.ProcessingMode_BUFFERED: // there is a single chunk; trailers may follow
			q.requestComplete = true
		case modev3.ProcessingMode_BUFFERED_PARTIAL:
			if !q.requestComplete {
				return stepNone, errBodyTruncated
			}
		}
	case *extprocv3.ProcessingRequest_RequestTrailers:
		if q.lastStep != stepRequestHeaders && q.lastStep != stepRequestBody {
			return stepNone, fmt.Errorf("%w: the request's trailers", errOrder)
		}
		next = stepRequestTrailers
		q.requestComplete = true
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		if !q.started || q.lastStep >= stepResponseHeaders {
			return stepNone, fmt.Errorf("%w: the answer's head", errOrder)
		}
		next = stepResponseHeaders
		q.responseComplete = m.ResponseHeaders.GetEndOfStream()
	case *extprocv3.ProcessingRequest_ResponseBody:
		if q.lastStep != stepResponseHeaders && q.lastStep != stepResponseBody || q.responseComplete {
			return stepNone, fmt.Errorf("%w: a part of the answer", errOrder)
		}
		next = stepResponseBody
		q.responseComplete = m.ResponseBody.GetEndOfStream()
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		if q.lastStep != stepResponseHeaders && q.lastStep != stepResponseBody || q.responseComplete {
			return stepNone, fmt.Errorf("%w: the answer's trailers", errOrder)
		}
		next = stepResponseTrailers
		q.responseComplete = true
	default:
		return stepNone, errUnknownMessage
	}
	if !q.started && next != stepRequestHeaders {
		return stepNone, fmt.Errorf("%w: the first is no head", errOrder)
	}
	q.started, q.lastStep = true, next
	return next, nil
}
