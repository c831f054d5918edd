package main

// This file owns the command line. It must never do more for a command than read and print: serving is run's.

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"text/template"
	"time"

	"github.com/alecthomas/kong"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rowanyard/internal/decisions/pb"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/setup"
	"rowanyard/internal/wire"
)

// cli is the command line.
type cli struct {
	Serve  serveCommand  `cmd:"" default:"1" help:"Serve (the default). ROUTER_CONFIG names the platform's file, ROWANYARD_OPERATOR the operator's."`
	Check  checkCommand  `cmd:"" help:"Check an operator's file and its descriptions, and say what is wrong with them and where."`
	Grants grantsCommand `cmd:"" help:"Show the grants that are open at a router's decision service."`
}

// commands runs what the command line says.
func commands(args []string, out io.Writer) error {
	var c cli
	parser, err := kong.New(&c, kong.Name("rowanyard"), kong.Description("A router for two-stage language-model serving."),
		kong.Writers(out, os.Stderr), kong.UsageOnError(), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return ctx.Run()
}

type serveCommand struct{}

// Run serves.
func (serveCommand) Run() error {
	return run(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
}

type checkCommand struct {
	File   string  `arg:"" help:"The operator's file."`
	Config string  `help:"The platform's file, for the classes and limits that there are." env:"ROUTER_CONFIG"`
	Memory float64 `help:"The memory limit in MB, where no platform's file says it." default:"192"`
}

// Run checks.
func (k checkCommand) Run(out io.Writer) error {
	var known func(string) bool
	memory := k.Memory
	if k.Config != "" {
		cfg, err := readFile(k.Config)
		if err != nil {
			return err
		}
		site, err := wire.ParseSite(cfg.Settings)
		if err != nil {
			return fmt.Errorf("%s: settings: %w", k.Config, err)
		}
		memory = cmp.Or(max(cfg.Limits.MemoryMB, 0), memory)
		classes := httpfront.ClassesOf(site.ClassNames)
		known = func(name string) bool { _, ok := classes[name]; return ok }
	}
	f, _, err := setup.Read(k.File, memory*(1<<20), known)
	if err != nil {
		return err
	}
	return checked.Execute(out, map[string]any{"Path": k.File, "File": f, "Classes": known != nil})
}

var checked = template.Must(template.New("check").Parse(`{{.Path}}: good
{{- with .File}}
{{with .GRPC.Listen}}  gRPC clients         {{.}}
{{end}}{{with .ExtProc.Listen}}  external processor   {{.}}, at most {{$.File.ExtProc.MaxOpen}} requests open
{{end}}{{with .Decisions.Listen}}  decisions            {{.}}, at most {{$.File.Grants.Open}} requests open, {{$.File.Grants.Effects}} effects remembered for {{$.File.Grants.RememberS}} s
{{end}}{{with .Reports.Listen}}  reports of engines   {{.}}, at most {{$.File.Reports.Blocks}} blocks known, doubtful for {{$.File.Reports.BoundMs}} ms at most
{{end}}{{with .Metrics.Listen}}  metrics              http://{{.}}/metrics
{{end}}{{with .Traces.Endpoint}}  traces               {{.}}, {{$.File.Traces.Share}} of the requests
{{end}}{{if .Settings.Reload}}  settings             changed ones are in force after SIGHUP
{{end}}{{end}}{{if not .Classes}}  The descriptions' classes are not checked: name the platform's file with --config.
{{end}}`))

type grantsCommand struct {
	Address string        `arg:"" help:"Where the decision service listens, such as 127.0.0.1:9092."`
	Most    int32         `help:"Show at most so many." default:"200"`
	Wait    time.Duration `help:"Wait for the answer for so long." default:"2s"`
}

// Run shows.
func (g grantsCommand) Run(out io.Writer) error {
	conn, err := grpc.NewClient("passthrough:///"+g.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(context.Background(), g.Wait)
	defer stop()
	reply, err := pb.NewDecisionsClient(conn).Grants(ctx, &pb.GrantsRequest{Most: g.Most})
	if err != nil {
		return fmt.Errorf("%s: %w", g.Address, err)
	}
	return shown.Execute(out, reply)
}

var shown = template.Must(template.New("grants").Funcs(template.FuncMap{
	"stage": func(s pb.Stage) string {
		return map[pb.Stage]string{pb.Stage_STAGE_READ: "read", pb.Stage_STAGE_WRITE: "write"}[s]
	},
	"ms": func(d interface{ AsDuration() time.Duration }) int64 { return d.AsDuration().Milliseconds() },
}).Parse(`{{.Requests}} requests open of {{.Callers}} callers, {{.Effects}} effects remembered
{{if .Grants}}{{printf "%-8s %-9s %6s %6s  %-5s %-20s %-14s %-20s %s" "grant" "state" "age ms" "left" "stage" "worker" "class" "caller" "request"}}
{{range .Grants}}{{printf "%-8d %-9s %6d %6d  %-5s %-20s %-14s %-20s %s" .Grant .State (ms .Age) (ms .Left) (stage .Stage) .Worker .Class .Caller .Request}}
{{end}}{{end}}`))
