// Command engine serves emulated engines on loopback sockets: readers and writers that speak the platform's worker
// protocol and publish their cache events, and a discovery service that lists them. It writes a configuration for the
// router to a file and runs until it is interrupted. Don't take its speed for a measurement of real engines.
package main

import (
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"rowanyard/internal/enginehost"
)

func main() {
	var flags struct {
		Readers int      `default:"3" help:"Number of readers, which process prompts."`
		Writers int      `default:"3" help:"Number of writers, which generate answers."`
		Seed    uint64   `default:"1" help:"Seed for the engines' figures, which are drawn within the ranges of their kinds."`
		Memory  float64  `name:"memory-k" help:"Memory of each reader in thousands of tokens; a small one shows evictions."`
		Kinds   string   `type:"existingfile" help:"File with kinds of engines, in place of the built-in ones."`
		Reports []string `help:"Addresses of routers to which cache events are published, such as 127.0.0.1:9094."`
		Config  string   `default:"example/router.json" help:"File to which the router's configuration is written."`
		Listen  string   `default:"127.0.0.1:9000" help:"Address at which the router is to listen."`
	}
	kong.Parse(&flags, kong.Name("engine"), kong.Description("Serves emulated engines on loopback sockets."))
	options := enginehost.Options{Readers: flags.Readers, Writers: flags.Writers, Seed: flags.Seed, ReaderMemoryKTokens: flags.Memory, ReportAddrs: flags.Reports}
	var err error
	if flags.Kinds != "" {
		options.Kinds, err = os.ReadFile(flags.Kinds)
	}
	var cluster *enginehost.Cluster
	if err == nil {
		cluster, err = enginehost.Start(options)
	}
	if err == nil {
		err = os.WriteFile(flags.Config, cluster.Config(flags.Listen, enginehost.Settings()), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "engine:", err)
		os.Exit(1)
	}
	defer cluster.Close()
	fmt.Printf("%d engines up, discovery at %s; start the router with ROUTER_CONFIG=%s\n", len(cluster.Instances()), cluster.DiscoveryAddr, flags.Config)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt)
	<-interrupted
	for _, inst := range cluster.Instances() {
		if inst.PromptsRead > 0 {
			fmt.Printf("%-10s %5d prompts read, %d of %d tokens found in the cache\n", inst.ID, inst.PromptsRead, inst.CachedTokens, inst.TotalPromptTokens)
		}
	}
}
