package faultproxy

import "time"

// Piece is a part of an answer, with the time right before it was passed on.
type Piece struct {
	Text string
	At   time.Time
}

// Answer is what a Proxy has passed on of one answer of the server, or of what follows it on the connection.
type Answer struct {
	Pieces  []Piece
	EndedAt time.Time // when the server's connection ended, or the answer was broken off; zero: it was not
}

// RecordAnswers has the proxy keep a record of the answers that begin from now on.
func (p *Proxy) RecordAnswers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recording = true
}

// Answers returns the answers that were recorded so far.
func (p *Proxy) Answers() (all []Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.answers {
		all = append(all, *a)
	}
	return all
}

// beginAnswer begins the record of an answer. It returns nil if answers are not recorded.
func (p *Proxy) beginAnswer() *Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.recording {
		return nil
	}
	a := &Answer{}
	p.answers = append(p.answers, a)
	return a
}

// record adds a piece to an answer's record.
func (p *Proxy) record(a *Answer, text string) {
	if a == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Pieces = append(a.Pieces, Piece{text, time.Now()})
}

// endAnswer records that the connection of an answer has ended.
func (p *Proxy) endAnswer(a *Answer) {
	if a == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.EndedAt.IsZero() {
		a.EndedAt = time.Now()
	}
}
