package inflight

import (
	"context"
	"testing"
	"testing/synctest"
)

func TestWaitReturnsWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Counter
		if !c.Wait(t.Context()) {
			t.Error("Wait returned false with nothing in flight")
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
		c.Begin() // begins while others wait
		c.End()
		synctest.Wait()
		if len(done) > 0 {
			t.Fatal("Wait returned with an operation in flight")
		}
		c.End()
		synctest.Wait()
		if len(done) != waiters || !<-done || !<-done {
			t.Error("Wait did not return true for all waiters")
		}
	})
}

func TestWaitReturnsWhenItsContextEnds(t *testing.T) {
	var c Counter
	c.Begin()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if c.Wait(ctx) {
		t.Error("Wait returned true with an operation in flight")
	}
	c.End() // its waiter has left
	if !c.Wait(t.Context()) {
		t.Error("Wait returned false with nothing in flight")
	}
}
