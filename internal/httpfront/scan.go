package httpfront

// Scanners of what a client sends. They go on where they stopped: no byte is looked at again as more arrives.

import "bytes"

// headScanner finds the end of a head. The zero value is at its start.
type headScanner struct {
	scanned   int // bytes that were looked at
	lineStart int // of the current line
	lines     int // complete lines
}

// end returns the length of the head at the start of text, including the empty line that ends it, or 0 if the head is
// incomplete. text begins with what was given before. A head that begins with an empty line consists of that line only.
func (s *headScanner) end(text []byte) int {
	for {
		i := bytes.IndexByte(text[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(text)
			return 0
		}
		line := text[s.lineStart : s.scanned+i]
		s.scanned += i + 1
		s.lineStart = s.scanned
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return s.scanned
		}
		s.lines++
	}
}

// emptyLine may come once before a head, which RFC 9112, section 2.2, has servers ignore.
var emptyLine = []byte("\r\n")

// pipelineCounter counts the requests in the bytes behind the current request, as they come. Its offsets are those of the
// connection's buffer.
type pipelineCounter struct {
	complete int         // requests that have come in full
	next     int         // where the request behind them begins
	head     headScanner // of that one
	end      int         // where that one ends, once its head is complete; 0: not yet
	unknown  bool        // where that one ends can't be told: it is counted for all that follows
	skipped  bool        // an empty line before that one
}

// startAt begins to count behind a request that ends at an offset, which may lie beyond the bytes that have come.
func (p *pipelineCounter) startAt(offset int) { *p = pipelineCounter{next: offset} }

// consume records that bytes were removed from the start of the buffer.
func (p *pipelineCounter) consume(n int) {
	p.next -= n
	if p.end > 0 {
		p.end -= n
	}
}

// consumeEmptyLine records that an empty line was removed from the start of the buffer, which no request counts yet.
func (p *pipelineCounter) consumeEmptyLine() {
	if p.next >= len(emptyLine) {
		p.consume(len(emptyLine))
		return
	}
	p.head, p.skipped = headScanner{}, true
}

// begin records that the request at the start of the buffer has become the current one. It ends at an offset.
func (p *pipelineCounter) begin(end int) {
	if p.complete == 0 {
		p.startAt(end)
		return
	}
	p.complete--
}

// count returns the number of requests in buf behind the current one. The last one counts once its first line is complete.
func (p *pipelineCounter) count(buf []byte) int {
	for !p.unknown && p.next <= len(buf) {
		if p.end == 0 && !p.skipped && bytes.HasPrefix(buf[p.next:], emptyLine) {
			p.next += len(emptyLine)
			p.head, p.skipped = headScanner{}, true
		}
		if p.end == 0 && !p.scanHead(buf[p.next:]) {
			break
		}
		if p.end == 0 || p.end > len(buf) {
			break
		}
		p.complete++
		p.next, p.end, p.head, p.skipped = p.end, 0, headScanner{}, false
	}
	if p.unknown || p.end > 0 || p.head.lines > 0 {
		return p.complete + 1
	}
	return p.complete
}

// scanHead looks for the end of the head at the start of text, and sets where its request ends. It returns false while the
// head is incomplete.
func (p *pipelineCounter) scanHead(text []byte) bool {
	length := p.head.end(text)
	if length == 0 {
		return false
	}
	f, ok := requestFraming(text[:length])
	if p.unknown = !ok || f.chunked || f.contentLength > maxCountedBody; !p.unknown {
		p.end = p.next + length + int(f.contentLength)
	}
	return true
}

// maxCountedBody is the length of a body behind which nothing is counted.
const maxCountedBody = 1 << 40
