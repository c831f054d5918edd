package core

// This file releases the states of reads whose outcome is unknown: reads that were cancelled, or whose connection broke. Such a
// read may have left a state, and may still leave one, as its worker may be stalled, or go on with what it has begun. A
// release frees only what is held as it arrives. So it is repeated until the read can't be under way any more.

import "time"

// Limits of the releases after a read of unknown outcome.
const (
	secondReleaseDelay     = 100 * time.Millisecond // from the first to the second
	defaultReleaseInterval = 300 * time.Millisecond // between later ones, where there is no pin limit
	maxReadTime            = 5 * time.Second        // of a read that is under way at a reader that answers calls
	maxReaderSilence       = 10 * time.Second       // past the read's deadline, until a reader that is not heard from is given up
	maxLateRead            = 30 * time.Second       // from the read's end, however late its deadline
	readerFirstRounds      = 2                      // rounds that ask a reader first that is not heard from, and then ...
	readerRoundInterval    = 4                      // ... every fourth: each may wait for a connection that never comes up
)

// lateRead is a read of unknown outcome whose state is released.
type lateRead struct {
	req       *activeRequest
	reader    Worker
	endedAt   time.Time     // when the router gave the read up or lost its connection
	lastEnd   time.Time     // when a reader that is not heard from is taken to have ended it
	readTime  time.Duration // after which a reader that has been heard from has ended it
	heardFrom time.Time     // when the reader was first seen to answer after endedAt; zero: it was not
	nextIsOut bool          // a further attempt was in flight as the releases began
	round     int           // number of the round, from 0
}

// newLateRead returns the lateRead of a read that has just ended.
func newLateRead(req *activeRequest, read *attempt) *lateRead {
	l := &lateRead{req: req, reader: read.To, endedAt: time.Now(), lastEnd: read.Deadline.Add(maxReaderSilence), readTime: min(req.ttftTarget(), maxReadTime)}
	if latest := l.endedAt.Add(maxLateRead); l.lastEnd.After(latest) {
		l.lastEnd = latest
	}
	return l
}

// unknownReadPastLimit reports whether the pin limit has passed since a read of unknown outcome ended.
func (req *activeRequest) unknownReadPastLimit() bool {
	limit := req.settings.PinLimit
	return len(req.unknownReads) > 0 && limit > 0 && time.Since(req.unknownReads[0].endedAt) >= limit
}

// startLateReadReleases begins to release what reads of unknown outcome may leave.
func (req *activeRequest) startLateReadReleases() {
	for _, l := range req.unknownReads {
		l.nextIsOut = req.inFlight > 0
		req.logRelease("read of unknown fate", l.preferred())
		req.core.running.Begin()
		go l.release()
	}
	req.unknownReads = nil
}

// ttftTarget returns the target time to first token, which is longer than any read should take.
func (req *activeRequest) ttftTarget() time.Duration {
	if req.Class < 0 || req.Class >= len(req.settings.Classes) {
		return req.TimeLeft
	}
	class := req.settings.Classes[req.Class]
	return class.TTFTTarget + class.TTFTTargetPer1000*time.Duration(req.PromptLength)/1000
}

// release releases in rounds until one has been taken after the end of the read.
func (l *lateRead) release() {
	c := l.req.core
	defer c.running.End()
	for pause := secondReleaseDelay; ; pause = l.interval() {
		over := l.isOver()
		if l.req.mayRelease() && c.releaseOnce(l.req, l.preferred(), l.req.mayRelease) && over {
			return
		}
		if time.Now().After(l.lastEnd.Add(maxReleaseTime)) {
			c.log.Error("nothing took the release", "id", l.req.ID, "txn", l.req.Label)
			return
		}
		time.Sleep(pause)
		l.round++
	}
}

// preferred returns the worker that is asked first: the reader in most rounds, unless a further attempt is in flight. The reader
// may be slow to act, and a late release would hit the state that the next read leaves.
func (l *lateRead) preferred() Worker {
	inTurn := !l.heardFrom.IsZero() || l.round < readerFirstRounds || l.round%readerRoundInterval == 0
	if !inTurn || l.nextIsOut && !l.req.answerFixed.Load() {
		return Worker{}
	}
	return l.reader
}

// interval returns the time between two rounds.
func (l *lateRead) interval() time.Duration {
	if limit := l.req.settings.PinLimit; limit > 0 {
		return limit
	}
	return defaultReleaseInterval
}

// isOver reports whether the read can leave no state any more: its reader's process has ended, or has been heard from so
// long ago that it has ended the read, or has been silent for too long.
func (l *lateRead) isOver() bool {
	c, now := l.req.core, time.Now()
	if w, ok := c.Worker(l.reader.ID); !ok || w.UnixStart != l.reader.UnixStart {
		return true
	}
	if l.heardFrom.IsZero() && c.contactSince(l.reader.ID, l.endedAt) {
		l.heardFrom = now
	}
	if !l.heardFrom.IsZero() {
		return now.Sub(l.heardFrom) >= l.readTime
	}
	return now.After(l.lastEnd)
}
