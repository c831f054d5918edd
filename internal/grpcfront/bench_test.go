package grpcfront_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"rowanyard/internal/standin"
)

// BenchmarkFronts compares an HTTP client with HTTP workers to a gRPC client with gRPC workers. Requests alternate between
// the two; the workers take 40 ms to read and 5 ms per token. It reports the median and the interquartile range of the times
// in ms, and the difference of gRPC from HTTP/1.1 in per cent. It is not part of CI:
// go test -run - -bench Fronts -benchtime 300x ./internal/grpcfront
func BenchmarkFronts(b *testing.B) {
	o := standin.Options{Readers: 2, Writers: 2, Tokens: 20, TokenInterval: 5 * time.Millisecond, ReadDuration: 40 * time.Millisecond}
	plain := start(b, o)
	o.GRPC = true
	tokens := start(b, o)
	var first, whole [2][]float64
	record := func(i int, began, token time.Time) {
		first[i] = append(first[i], token.Sub(began).Seconds()*1e3)
		whole[i] = append(whole[i], time.Since(began).Seconds()*1e3)
	}
	n := 0
	for b.Loop() {
		n++
		began, token := time.Now(), time.Time{}
		req, _ := http.NewRequest(http.MethodPost, plain.http+"/v1/chat/completions",
			strings.NewReader(`{"model":"chat","messages":[{"role":"user","content":"k"}]}`))
		for k, v := range map[string]string{"X-Txn": fmt.Sprintf("b%d", n), "X-Lane": "draft-reply", "X-Remaining-Ms": "4000",
			"X-Entity": fmt.Sprintf("%x", n), "X-Labels": "prompt_len=40,max_out=10"} {
			req.Header.Set(k, v)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		for s := bufio.NewScanner(res.Body); s.Scan(); {
			if token.IsZero() {
				token = time.Now()
			}
		}
		res.Body.Close()
		record(0, began, token)

		began, token = time.Now(), time.Time{}
		call, err := tokens.grpc.Complete(context.Background(), tokens.request("draft-reply", "k", 4*time.Second))
		for err == nil {
			if _, err = call.Recv(); token.IsZero() {
				token = time.Now()
			}
		}
		record(1, began, token)
	}
	for name, times := range map[string][2][]float64{"first": first, "whole": whole} {
		var median [2]float64
		for i, path := range []string{"http", "grpc"} {
			t := times[i]
			slices.Sort(t)
			median[i] = t[len(t)/2]
			b.ReportMetric(median[i], name+"-"+path+"-ms")
			b.ReportMetric(t[len(t)*3/4]-t[len(t)/4], name+"-"+path+"-spread-ms")
		}
		b.ReportMetric((median[1]/median[0]-1)*100, name+"-off-%")
	}
}
