package httpfront

// Scanners that follow a chunked body and the event stream in it, byte by byte and in whatever pieces they come.

import (
	"bytes"
	"encoding/json"
)

// chunkScanner follows a chunked body. The zero value is at its start.
type chunkScanner struct {
	state     chunkState
	bytesLeft int64          // of the chunk's data
	lineBytes int            // of the current line
	onData    func(p []byte) // receives the data, may be nil
}

// chunkState is the part of a chunked body that the next byte belongs to. Its numbers are part of streamPosition.
type chunkState int

const (
	chunkSize   chunkState = iota
	chunkExt               // a chunk extension, up to the CR
	chunkSizeLF            // the LF after the size and its extension
	chunkData
	chunkCR     // the CR after the data ...
	chunkLF     // ... and the LF
	trailer     // the start of a trailer line, or of the empty line that ends the body
	trailerLine // the rest of a trailer line
	trailerLF   // the LF that ends the body
)

// feed processes the next bytes. It returns how many of them belong to the body and whether the body has ended.
func (s *chunkScanner) feed(p []byte) (n int, end bool, err error) {
	for n < len(p) {
		b := p[n]
		switch s.state {
		case chunkData:
			take := min(s.bytesLeft, int64(len(p)-n))
			if s.onData != nil {
				s.onData(p[n : n+int(take)])
			}
			n += int(take)
			if s.bytesLeft -= take; s.bytesLeft == 0 {
				s.state = chunkCR
			}
			continue
		case chunkSize:
			digit := unhex(b)
			switch {
			case digit >= 0:
				s.bytesLeft = s.bytesLeft<<4 | int64(digit)
				if s.lineBytes++; s.bytesLeft > maxChunkBytes || s.lineBytes > 16 {
					return n, false, malformed("chunk over %d bytes", maxChunkBytes)
				}
			case s.lineBytes > 0 && b == '\r':
				s.state = chunkSizeLF
			case s.lineBytes > 0 && (b == ';' || b == ' ' || b == '\t'):
				s.state, s.lineBytes = chunkExt, 0
			default:
				return n, false, malformed("malformed chunk size")
			}
		case chunkExt, trailerLine:
			if s.lineBytes++; s.lineBytes > maxChunkLineBytes {
				return n, false, malformed("chunk extension or trailer over %d bytes", maxChunkLineBytes)
			}
			if b == '\r' && s.state == chunkExt {
				s.state = chunkSizeLF
			} else if b == '\n' && s.state == trailerLine {
				s.state = trailer
			}
		case chunkSizeLF:
			if b != '\n' {
				return n, false, malformed("malformed chunk size")
			}
			s.state, s.lineBytes = chunkData, 0
			if s.bytesLeft == 0 {
				s.state = trailer
			}
		case chunkCR, chunkLF:
			if s.state == chunkCR && b == '\r' {
				s.state = chunkLF
			} else if s.state == chunkLF && b == '\n' {
				s.state = chunkSize
			} else {
				return n, false, malformed("chunk does not end after its size")
			}
		case trailer:
			s.state = trailerLine
			if b == '\r' {
				s.state = trailerLF
			}
		case trailerLF:
			if b != '\n' {
				return n, false, malformed("malformed trailer")
			}
			return n + 1, true, nil
		}
		n++
	}
	return n, false, nil
}

func unhex(b byte) int {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0')
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10
	}
	return -1
}

// eventScanner follows an event stream: lines of a field name, a colon and a value, comments with any content, and
// empty lines.
type eventScanner struct {
	namePrefix []byte // the line's first bytes, at most as many as the longest field name has
	lineBytes  int    // length of the line so far
	validName  bool   // what precedes the colon is valid
	isComment  bool   // the line is a comment
	hasData    bool   // the current event has a line of data
	events     int    // events with data that are complete
	endMark    bool   // the latest line of data is the end mark

	value      [maxEndMarkBytes + 1]byte // the start of the current line's value if it is one of data
	valueBytes int                       // how much of it there is
}

const (
	dataField = "data" // the name of the lines without which nothing is an event
	endMark   = "[DONE]"
	// maxEndMarkBytes is the length of the end mark's value with spaces around it.
	maxEndMarkBytes = len(" " + endMark + " \r")
)

var eventFields = []string{dataField, "event", "id", "retry"}

// feed processes the next bytes. It returns how many of them are valid and the position behind the last empty line.
func (s *eventScanner) feed(p []byte) (n, blank int, err error) {
	for i, b := range p {
		if b == '\n' {
			if name := bytes.TrimSuffix(s.namePrefix, []byte("\r")); !s.validName && len(name) > 0 && !isEventField(name) {
				return i, blank, malformed("malformed line %.20q", s.namePrefix)
			}
			if s.lineBytes == 0 || s.lineBytes == 1 && string(s.namePrefix) == "\r" {
				blank = i + 1
				if s.hasData {
					s.hasData, s.events = false, s.events+1
				}
			} else if string(s.namePrefix) == dataField {
				s.hasData = true
				s.endMark = string(bytes.TrimSpace(s.value[:s.valueBytes])) == endMark
			}
			*s = eventScanner{namePrefix: s.namePrefix[:0], hasData: s.hasData, events: s.events, endMark: s.endMark}
			continue
		}
		if s.lineBytes++; s.lineBytes > maxEventBytes {
			return i, blank, malformed("event line over %d bytes", maxEventBytes)
		}
		switch {
		case s.isComment:
		case s.validName:
			if b < ' ' && b != '\t' && b != '\r' {
				return i, blank, malformed("control character in an event line")
			}
			if s.valueBytes < len(s.value) && string(s.namePrefix) == dataField {
				s.value[s.valueBytes] = b
				s.valueBytes++
			}
		case b == ':':
			s.isComment = len(s.namePrefix) == 0
			if s.validName = true; !s.isComment && !isEventField(s.namePrefix) {
				return i, blank, malformed("malformed line %.20q", s.namePrefix)
			}
		default:
			if s.namePrefix = append(s.namePrefix, b); !isEventFieldPrefix(s.namePrefix) {
				return i, blank, malformed("malformed line %.20q", s.namePrefix)
			}
		}
	}
	return len(p), blank, nil
}

// insideEvent reports whether the latest line, or the event that it belongs to, is incomplete.
func (s *eventScanner) insideEvent() bool { return s.lineBytes > 0 || s.hasData }

// endsWithMark reports whether the latest event is the end mark.
func (s *eventScanner) endsWithMark() bool { return s.endMark && !s.insideEvent() }

func isEventField(name []byte) bool {
	for _, f := range eventFields {
		if string(name) == f {
			return true
		}
	}
	return false
}

func isEventFieldPrefix(start []byte) bool {
	start = bytes.TrimSuffix(start, []byte("\r"))
	for _, f := range eventFields {
		if len(start) <= len(f) && f[:len(start)] == string(start) {
			return true
		}
	}
	return false
}

// hasDataEvent reports whether text, which ends with an empty line, contains an event with data. The data of the first
// such event must be a JSON object or the end mark [DONE].
func hasDataEvent(text []byte) (bool, error) {
	var data []byte
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, value...)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if data = bytes.TrimSpace(data); len(data) == 0 {
			continue
		}
		if string(data) != endMark && !(data[0] == '{' && json.Valid(data)) {
			return false, malformed("malformed data of the first event: %.40q", data)
		}
		return true, nil
	}
	return false, nil
}
