// Command scaletest measures how the cost of a router grows with the size of the fleet, on one machine. See
// docs/CAPACITY.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"rowanyard/internal/scale/fleetsim"
)

// exitError is the exit status for invalid arguments and for runs that fail.
const exitError = 2

// commandLine defines the subcommands.
type commandLine struct {
	Router    routerCommand    `cmd:"" help:"Measure one real router with simulated workers: processor time, memory, descriptors and traffic."`
	Discovery discoveryCommand `cmd:"" help:"Measure how changes of the list of workers reach all routers: one real router and simulated watchers."`
	Settings  settingsCommand  `cmd:"" help:"Measure how soon a real router applies changed settings, and what that costs."`
	Fleet     fleetCommand     `cmd:"" help:"Simulate all routers' decision modules and the servers on a virtual clock."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := execute(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		os.Exit(exitError)
	}
}

// errHelp reports that help was requested and printed.
var errHelp = errors.New("help")

// defaults returns the default values of the flags of all subcommands, for the planned fleet size.
func defaults() kong.Vars {
	plan := fleetsim.Default()
	vars := kong.Vars{}
	for name, value := range map[string]any{"routers": plan.Routers, "servers": plan.Servers, "readers": plan.Readers, "rate": plan.Rate,
		"regions": plan.Regions, "zones": plan.Zones, "tenants": plan.Tenants, "tokens": plan.Tokens, "warm_up": plan.WarmUp,
		"measure": plan.Measure, "aftermath": plan.Aftermath, "event": plan.Event} {
		vars[name] = fmt.Sprint(value)
	}
	return vars
}

// execute parses the arguments and runs the chosen subcommand.
func execute(ctx context.Context, args []string, out io.Writer) error {
	var c commandLine
	helpShown := false
	parser, err := kong.New(&c, kong.Name("scaletest"), kong.Description("Scale tests of the router."), defaults(), kong.Writers(out, io.Discard),
		kong.Exit(func(int) { helpShown = true; panic(errHelp) }), kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		return err
	}
	command, err := parse(parser, args)
	if helpShown || err != nil {
		return err
	}
	return command.Run()
}

// parse parses the arguments. If help was requested, it prints the help and returns no subcommand to run.
func parse(parser *kong.Kong, args []string) (command *kong.Context, err error) {
	defer func() {
		if recovered := recover(); recovered != nil && recovered != errHelp {
			panic(recovered)
		}
	}()
	return parser.Parse(args)
}
