package inflight

import (
	"context"
	"testing"
	"testing/synctest"
)

func TestWaitReturnsWhenNothingIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Count
		if !c.Wait(t.Context()) {
			t.Error("waits for nothing")
		}
		c.Begin()
		c.Begin()
		const waiters = 2
		done := make(chan bool, waiters)
		for range waiters {
			go func() { done <- c.Wait(t.Context()) }()
		}
		synctest.Wait()
		c.End()
		c.Begin() // while others wait
		c.End()
		synctest.Wait()
		if len(done) > 0 {
			t.Fatal("one is under way")
		}
		c.End()
		synctest.Wait()
		if len(done) != waiters || !<-done || !<-done {
			t.Error("goes on waiting, or was given up")
		}
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	var c Count
	c.Begin()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if c.Wait(ctx) {
		t.Error("one is under way")
	}
	c.End() // nobody waits for it any more
	if !c.Wait(t.Context()) {
		t.Error("nothing is under way")
	}
}
