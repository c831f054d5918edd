package main

// The command line. Commands other than serve only read and print.

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
	"rowanyard/internal/logsink"
	"rowanyard/internal/setup"
	"rowanyard/internal/wire"
)

// cli declares the commands and their flags.
type cli struct {
	Serve  serveCommand  `cmd:"" default:"1" help:"Run the router (default). ROUTER_CONFIG names the platform's configuration file, ROWANYARD_OPERATOR the operator's."`
	Check  checkCommand  `cmd:"" help:"Validate an operator's file and its API descriptions, and report errors with their location."`
	Grants grantsCommand `cmd:"" help:"List the open grants of a router's decision service."`
}

// runCommand parses args and runs the selected command, which prints to out.
func runCommand(args []string, out io.Writer) error {
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

// Run runs the router until SIGTERM or SIGINT.
func (serveCommand) Run() error {
	sink := logsink.NewWriter(os.Stderr)
	defer sink.Flush(logFlushTime)
	return run(newLogger(sink, logLevel()))
}

// logFlushTime is for the reader of the log to take what is left as the process ends.
const logFlushTime = 200 * time.Millisecond

// newLogger returns the logger of a router. At debug level it passes on all lines.
func newLogger(out io.Writer, level slog.Level) *slog.Logger {
	var handler slog.Handler = slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})
	if level > slog.LevelDebug {
		handler = logsink.Limit(handler)
	}
	return slog.New(handler)
}

type checkCommand struct {
	File   string  `arg:"" help:"The operator's file."`
	Config string  `help:"The platform's configuration file, for its request classes and limits." env:"ROUTER_CONFIG"`
	Memory float64 `help:"The memory limit in MB, if the platform's file does not set it." default:"192"`
}

// Run validates the operator's file and prints a summary of it to out.
func (k checkCommand) Run(out io.Writer) error {
	var classExists func(string) bool
	memory := k.Memory
	if k.Config != "" {
		cfg, err := readConfigFile(k.Config)
		if err != nil {
			return err
		}
		site, err := wire.ParseRouterSettings(cfg.Settings)
		if err != nil {
			return fmt.Errorf("%s: settings: %w", k.Config, err)
		}
		memory = cmp.Or(max(cfg.Limits.MemoryMB, 0), memory)
		classes := httpfront.ClassesOf(site.ClassNames)
		classExists = func(name string) bool { _, ok := classes[name]; return ok }
	}
	f, _, err := setup.Read(k.File, memory*(1<<20), classExists)
	if err != nil {
		return err
	}
	return checkTemplate.Execute(out, map[string]any{"Path": k.File, "File": f, "Classes": classExists != nil})
}

var checkTemplate = template.Must(template.New("check").Parse(`{{.Path}}: good
{{- with .File}}
{{with .GRPC.Listen}}  gRPC clients         {{.}}
{{end}}{{with .ExtProc.Listen}}  external processor   {{.}}, at most {{$.File.ExtProc.MaxOpen}} requests open
{{end}}{{with .Decisions.Listen}}  decisions            {{.}}, at most {{$.File.Grants.Open}} requests open, {{$.File.Grants.Effects}} effects remembered for {{$.File.Grants.RememberS}} s
{{end}}{{with .Reports.Listen}}  engine reports       {{.}}, at most {{$.File.Reports.Blocks}} blocks known, unconfirmed ones for at most {{$.File.Reports.BoundMs}} ms
{{end}}{{with .Metrics.Listen}}  metrics              http://{{.}}/metrics
{{end}}{{with .Traces.Endpoint}}  traces               {{.}}, {{$.File.Traces.Share}} of the requests
{{end}}{{if .Settings.Reload}}  settings             reloaded after SIGHUP
{{end}}{{end}}{{if not .Classes}}  The classes in the descriptions were not checked: name the platform's file with --config.
{{end}}`))

type grantsCommand struct {
	Address string        `arg:"" help:"The decision service's address, such as 127.0.0.1:9092."`
	Most    int32         `help:"List at most this many grants." default:"200"`
	Wait    time.Duration `help:"The timeout of the call." default:"2s"`
}

// Run fetches the open grants and prints them to out.
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
	return grantsTemplate.Execute(out, reply)
}

var grantsTemplate = template.Must(template.New("grants").Funcs(template.FuncMap{
	"stage": func(s pb.Stage) string {
		return map[pb.Stage]string{pb.Stage_STAGE_READ: "read", pb.Stage_STAGE_WRITE: "write"}[s]
	},
	"ms": func(d interface{ AsDuration() time.Duration }) int64 { return d.AsDuration().Milliseconds() },
}).Parse(`{{.Requests}} requests open of {{.Callers}} callers, {{.Effects}} effects remembered
{{if .Grants}}{{printf "%-8s %-9s %6s %6s  %-5s %-20s %-14s %-20s %s" "grant" "state" "age ms" "left" "stage" "worker" "class" "caller" "request"}}
{{range .Grants}}{{printf "%-8d %-9s %6d %6d  %-5s %-20s %-14s %-20s %s" .Grant .State (ms .Age) (ms .Left) (stage .Stage) .Worker .Class .Caller .Request}}
{{end}}{{end}}`))
