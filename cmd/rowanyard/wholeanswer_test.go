package main

// Answers of workers that are whole, or not, with real processes.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/standin"
)

const (
	clientPatience = 5 * time.Second // behind a stream's last event
	endChoices     = 120             // of faultproxy.EndCutOff: each byte of both ends, and each way to break off
)

// sendUntilTaken sends a draft, and again where it is refused, after the time that the refusal names: beside load a writer may count as
// silent, and there are few.
func sendUntilTaken(p *program, id string) (*http.Response, error) {
	for {
		res, err := http.DefaultClient.Do(newRequest(p, id, "draft-reply"))
		if err != nil || res.StatusCode != http.StatusServiceUnavailable {
			return res, err
		}
		res.Body.Close()
		seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if err != nil {
			return res, err
		}
		<-time.After(time.Duration(seconds * float64(time.Second)))
	}
}

// readStream sends a draft and reads its answer. It returns the answer's text, and when it had its events and its end.
func readStream(t *testing.T, p *program, id string) (text string, events, ended time.Time, err error) {
	res, err := sendUntilTaken(p, id)
	if err != nil {
		t.Error(err)
		return "", events, time.Now(), err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("%s: answered with %d", id, res.StatusCode)
	}
	buffer := make([]byte, 1<<10)
	for err == nil {
		var n int
		if n, err = res.Body.Read(buffer); n > 0 {
			text, events = text+string(buffer[:n]), time.Now()
		}
	}
	return text, events, time.Now(), err
}

// The writers break their answers off behind each byte of the end, by a close, a reset or silence. No client may be told that its
// answer is whole, or wait 5 s behind the last event.
func TestAnswersCutOffInTheirEndAreNotEndedAsWhole(t *testing.T) {
	writers := &proxies{t: t}
	_, p := startRouter(t, standin.Options{ListedAddress: writers.wrap}, "")
	var mu sync.Mutex
	next := uint(0)
	for _, writer := range writers.all {
		writer.SetAnswers(func() faultproxy.SpoiltAnswer {
			mu.Lock()
			defer mu.Unlock()
			next++
			return faultproxy.SpoiltAnswer{Fault: faultproxy.EndCutOff, Choice: next}
		})
	}
	var all sync.WaitGroup
	for i := range endChoices {
		all.Go(func() {
			_, events, ended, err := readStream(t, p, fmt.Sprint("cut", i))
			if err == io.EOF || ended.Sub(events) >= clientPatience {
				t.Errorf("cut%d: ended with %v, %v behind the last event", i, err, ended.Sub(events))
			}
		})
	}
	all.Wait()
}

// A whole answer whose end or events come slowly, or in one chunk, is passed on to its end.
func TestSlowAnswersArePassedOnToTheirEnd(t *testing.T) {
	for name, spoilt := range map[string]faultproxy.SpoiltAnswer{
		"the end byte by byte":            {Fault: faultproxy.EndSlow, Delay: 100 * time.Millisecond},
		"an end with a trailer":           {Fault: faultproxy.EndSlow, Delay: 100 * time.Millisecond, Choice: 1},
		"events in one chunk":             {Fault: faultproxy.EventsInOneChunk, Delay: 500 * time.Millisecond},
		"a late event":                    {Fault: faultproxy.EventLate, Delay: 4700 * time.Millisecond},
		"events in one chunk, no pause":   {Fault: faultproxy.EventsInOneChunk},
		"an end with a trailer, no pause": {Fault: faultproxy.EndSlow, Choice: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			writers := &proxies{t: t}
			_, p := startRouter(t, standin.Options{ListedAddress: writers.wrap, Tokens: 9, TokenInterval: 300 * time.Millisecond}, "")
			for _, writer := range writers.all {
				writer.SetAnswers(func() faultproxy.SpoiltAnswer { return spoilt })
			}
			text, _, _, err := readStream(t, p, "slow")
			if err != io.EOF || !strings.Contains(text, "t8 ") || !strings.Contains(text, "[DONE]") {
				t.Errorf("%q, ended with %v", text, err)
			}
		})
	}
}
