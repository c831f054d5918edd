package logsink

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limits on the lines with one message.
const (
	linesPerSecond = 200
	lineBurst      = 400
)

// Limit returns a handler that passes on a bounded number of lines with each message. The next line with a message of which
// some were not passed on says how many. Messages must be constants of the program.
func Limit(next slog.Handler) slog.Handler {
	return &limiter{Handler: next, shared: &messageCounts{byMessage: make(map[string]*lineBudget)}}
}

// limiter is the handler that Limit returns, and those that are derived from it.
type limiter struct {
	slog.Handler
	shared *messageCounts
}

// messageCounts holds the budgets of all messages.
type messageCounts struct {
	mu        sync.Mutex
	byMessage map[string]*lineBudget
}

// lineBudget is a token bucket for the lines with one message.
type lineBudget struct {
	left       float64
	filledAt   time.Time
	suppressed int
}

// take uses a line of the message's budget. ok is false if there is none. suppressed is the number of lines that were not
// passed on since the last one that was.
func (c *messageCounts) take(message string, now time.Time) (suppressed int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.byMessage[message]
	if b == nil {
		b = &lineBudget{left: lineBurst, filledAt: now}
		c.byMessage[message] = b
	}
	if passed := now.Sub(b.filledAt); passed > 0 {
		b.left = min(lineBurst, b.left+linesPerSecond*passed.Seconds())
		b.filledAt = now
	}
	if b.left < 1 {
		b.suppressed++
		return 0, false
	}
	b.left--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// Handle implements slog.Handler.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	suppressed, ok := l.shared.take(r.Message, r.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{l.Handler.WithAttrs(attrs), l.shared}
}

// WithGroup implements slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{l.Handler.WithGroup(name), l.shared}
}
