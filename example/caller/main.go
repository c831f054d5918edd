// Command caller is an example of a proxy that sends requests to the workers itself: it asks a router's decision service
// for a grant for each attempt, sends the attempt to the worker that the grant names, and reports the result. An attempt must
// not be sent after its grant has expired.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"rowanyard/internal/decisions"
	"rowanyard/internal/decisions/pb"
)

func main() {
	router := flag.String("router", "127.0.0.1:9092", "address of the router's decision service")
	class := flag.String("class", "draft-reply", "class of the request")
	prompt := flag.String("text", "Good morning", "the prompt")
	flag.Parse()
	if err := run(*router, *class, *prompt); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func run(router, class, prompt string) error {
	conn, err := grpc.NewClient("passthrough:///"+router, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), decisions.CallerMetadataKey, "toy"), 20*time.Second)
	defer cancel()
	client := pb.NewDecisionsClient(conn)
	id := fmt.Sprintf("toy-%d", time.Now().UnixNano())
	body := fmt.Sprintf(`{"model":"chat","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	for attempt := int32(0); ; attempt++ {
		askedAt := time.Now()
		grant, err := client.Choose(ctx, &pb.ChooseRequest{Request: id, Attempt: attempt, Class: class, PromptTokens: int64(len(prompt)/4 + 1), MaxOutputTokens: 40})
		if err != nil {
			return err
		}
		fmt.Printf("%-11s at %s (%s), valid for %v\n", grant.Stage, grant.Worker, grant.Endpoint, grant.Valid.AsDuration().Round(time.Millisecond))
		if time.Since(askedAt) > grant.Valid.AsDuration() {
			return fmt.Errorf("the answer arrived after its grant had expired")
		}
		if _, err := client.Renew(ctx, &pb.RenewRequest{TakenUp: []uint64{grant.Grant}}); err != nil {
			return err
		}
		fate, done := sendAttempt(ctx, grant, id, class, body, func(fate pb.Fate) { report(ctx, client, grant, fate) })
		report(ctx, client, grant, fate)
		if done {
			return nil
		}
	}
}

// report reports the fate of an attempt to the decision service.
func report(ctx context.Context, client pb.DecisionsClient, grant *pb.Choice, fate pb.Fate) {
	if _, err := client.Report(ctx, &pb.ReportRequest{Grant: grant.Grant, Fate: fate}); err != nil {
		fmt.Fprintln(os.Stderr, "caller: report:", err)
	}
}

// sendAttempt sends an attempt to the worker of its grant and prints a streamed response, calling onStarted when that begins.
// It returns the fate of the attempt; done reports that the request is complete.
func sendAttempt(ctx context.Context, grant *pb.Choice, id, class, body string, onStarted func(pb.Fate)) (fate pb.Fate, done bool) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+grant.Endpoint+"/v1/chat/completions", strings.NewReader(body))
	for k, v := range map[string]string{"X-Txn": id, "X-Lane": class, "X-Remaining-Ms": fmt.Sprint(grant.Within.AsDuration().Milliseconds()),
		"X-Labels": "prompt_len=10,max_out=40", "Content-Type": "application/json"} {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return pb.Fate_FATE_RAN, false
	}
	defer res.Body.Close()
	switch {
	case grant.Stage == pb.Stage_STAGE_READ && res.StatusCode == http.StatusAccepted:
		return pb.Fate_FATE_READ, false
	case grant.Stage == pb.Stage_STAGE_WRITE && res.StatusCode == http.StatusOK:
		onStarted(pb.Fate_FATE_BEGUN)
		for s := bufio.NewScanner(res.Body); s.Scan(); {
			fmt.Println(s.Text())
		}
		return pb.Fate_FATE_ENDED, true
	case res.Header.Get("X-Turned-Away") != "":
		return pb.Fate_FATE_TURNED_AWAY, false
	}
	return pb.Fate_FATE_RAN, false
}
