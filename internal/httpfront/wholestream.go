package httpfront

// What proves that a worker's stream is whole. Only then is its client told so: by the last chunk, or the status OK of gRPC.
//
//	framing of the answer    proof
//	chunked                  the empty line behind the trailer, as in RFC 9112, 7.1
//	Content-Length           the last byte, and [DONE] as the last event: the protocol has streams chunked, so that the length
//	                         is of something else's making
//	neither                  none, as a connection also ends where its worker breaks off; such an answer is malformed
//	gRPC                     the status OK; package grpcfront
//
// In each of them the last event must be complete. A stream that was handed over is chunked.

import (
	"net/http"
	"slices"
)

// isChunked reports whether an answer is chunked.
func isChunked(res *http.Response) bool { return slices.Contains(res.TransferEncoding, "chunked") }

// checkProvable returns an error for a stream whose end nothing would prove.
func checkProvable(res *http.Response) error {
	if !isChunked(res) && res.ContentLength < 0 {
		return malformed("a stream without chunks or length")
	}
	return nil
}

// checkWhole returns an error unless a stream is whole whose framing has ended.
func checkWhole(chunked bool, events *eventScanner) error {
	switch {
	case events.insideEvent():
		return malformed("the stream ends inside an event")
	case !chunked && !events.endsWithMark():
		return malformed("a stream without chunks ends without %s", endMark)
	}
	return nil
}
