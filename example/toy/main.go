// Command toy runs a small deployment of fake workers on loopback, for trying the router: readers, writers and a discovery
// service, and on request a proxy. It writes a configuration for the router to the file that -config names and runs until
// it is interrupted. Its timing says nothing about real workers: see package standin.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"time"

	rpc "google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rowanyard/internal/extproc"
	"rowanyard/internal/standin"
)

func main() {
	config := flag.String("config", "example/router.json", "file to write the router's configuration to")
	listen := flag.String("listen", "127.0.0.1:9000", "address on which the router is to listen")
	grpc := flag.Bool("grpc", false, "the workers speak gRPC")
	resetShare := flag.Float64("resets", 0, "share of calls whose stream is reset, from 0 to 1")
	proxy := flag.String("proxy", "", "address on which to run a toy proxy that calls the router's external processor; none if empty")
	processor := flag.String("processor", "127.0.0.1:9091", "address of the router's external processor")
	flag.Parse()
	options := standin.Options{Readers: 2, Writers: 3, Tokens: 20, TokenInterval: 50 * time.Millisecond, ReadDuration: 50 * time.Millisecond, GRPC: *grpc}
	if *resetShare > 0 {
		options.FaultFor = standin.RandomFaults(1, *resetShare, standin.ResetMidStream)
	}
	fleet, err := standin.Start(options)
	if err == nil {
		err = os.WriteFile(*config, fleet.Config(*listen), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
	defer fleet.Close()
	fmt.Printf("deployment up, discovery at %s; start the router with ROUTER_CONFIG=%s\n", fleet.DiscoveryAddress, *config)
	if *proxy != "" {
		conn, err := rpc.NewClient("passthrough:///"+*processor, rpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			fmt.Fprintln(os.Stderr, "toy:", err)
			os.Exit(1)
		}
		go func() {
			err := http.ListenAndServe(*proxy, &standin.Proxy{Processor: conn, Destination: extproc.DestinationHeader, Transport: &http.Transport{}})
			fmt.Fprintln(os.Stderr, "toy:", err)
		}()
		fmt.Printf("proxy at %s, calls the external processor at %s for every request\n", *proxy, *processor)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt)
	<-interrupted
}
