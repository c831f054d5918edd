// Command scaletest measures how routers grow with the fleet round them, on one machine: see docs/CAPACITY.md.
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

// exitBadInput is the exit status for input, or a machine, that makes no run possible.
const exitBadInput = 2

// commandLine is what the command takes.
type commandLine struct {
	Router    routerCommand    `cmd:"" help:"One real router before hollow workers: processor time, memory, descriptors and traffic."`
	Discovery discoveryCommand `cmd:"" help:"How changes of the list of workers reach all routers: one real router and hollow watchers."`
	Settings  settingsCommand  `cmd:"" help:"How soon changes of the settings are in force at a real router, and what they cost it."`
	Fleet     fleetCommand     `cmd:"" help:"All routers' decision modules before simulated servers on a virtual clock."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := execute(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		os.Exit(exitBadInput)
	}
}

// errHelp says that help was asked for, and given.
var errHelp = errors.New("help")

// defaults are the planned size, for the arguments of all commands.
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

// execute runs what the arguments say.
func execute(ctx context.Context, args []string, out io.Writer) error {
	var c commandLine
	helped := false
	parser, err := kong.New(&c, kong.Name("scaletest"), kong.Description("Scale tests of the router."), defaults(), kong.Writers(out, io.Discard),
		kong.Exit(func(int) { helped = true; panic(errHelp) }), kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		return err
	}
	chosen, err := parse(parser, args)
	if helped || err != nil {
		return err
	}
	return chosen.Run()
}

// parse reads the arguments. Where help was asked for there is nothing to run.
func parse(parser *kong.Kong, args []string) (chosen *kong.Context, err error) {
	defer func() {
		if said := recover(); said != nil && said != errHelp {
			panic(said)
		}
	}()
	return parser.Parse(args)
}
