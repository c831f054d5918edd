// Command fleetlog aggregates the logs of a whole fleet of routers. By interval of time, it prints how often each worker was
// sent an attempt and with which results, changes of the worker list and lost watches of discovery, probes, and final
// answers by verdict. It also prints how many routers saw each failing worker and when, and what all routers together sent
// to workers that had just started. Routers don't depend on it.
package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/template"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-logfmt/logfmt"
)

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

func main() {
	var c struct {
		Logs  []string      `arg:"" type:"path" help:"Log files, or folders of *.log files. A number before a line is taken as its time in seconds, in place of its own clock's."`
		Every time.Duration `default:"2500ms" help:"Length of the intervals of time."`
		Top   int           `default:"12" help:"Workers to list in each table, the busiest or worst first."`
		Cold  budget        `embed:"" prefix:"cold-"`
	}
	kong.Parse(&c, kong.Name("fleetlog"), kong.Description("Aggregates counts over the logs of a fleet of routers."))
	f := newFleetStats(c.Every)
	f.cold.budget = c.Cold
	err := f.readAll(c.Logs)
	if err == nil {
		err = f.print(os.Stdout, c.Top)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleetlog:", err)
		os.Exit(1)
	}
}

// entry is a parsed log line. See parseLine for the clock of its time.
type entry struct {
	at     time.Duration
	fields map[string]string
}

// float returns the value of a field, 0 where it is missing or not a number between 0 and 1e9.
func (e entry) float(name string) float64 {
	v, err := strconv.ParseFloat(e.fields[name], 64)
	if err != nil || !(v >= 0 && v <= 1e9) {
		return 0
	}
	return v
}

// parseLine parses a line in the format of slog.TextHandler, optionally preceded by a time in seconds, which then replaces
// that of the line. Other times count from start, which the first line without that prefix sets. ok is false for text in
// another format, such as a stack trace.
func parseLine(text string, start *time.Time) (e entry, ok bool) {
	prefix, rest, _ := strings.Cut(text, " ")
	seconds, err := strconv.ParseFloat(prefix, 64)
	hasOffset := err == nil && seconds >= 0 && seconds < 1e9
	if !hasOffset {
		rest = text
	}
	d := logfmt.NewDecoder(strings.NewReader(rest))
	e.fields = make(map[string]string)
	for d.ScanRecord() {
		for d.ScanKeyval() {
			e.fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, e.fields["time"])
	if d.Err() != nil || err != nil || e.fields["msg"] == "" {
		return entry{}, false
	}
	if hasOffset {
		e.at = time.Duration(seconds * float64(time.Second))
		return e, true
	}
	if start.IsZero() {
		*start = at
	}
	e.at = at.Sub(*start)
	return e, true
}

// fleetStats holds the counts over all logs. Interval n covers the times from n*interval on.
type fleetStats struct {
	interval         time.Duration
	start            time.Time
	routers          map[string]bool
	lines            int
	skipped          int                                 // lines in another format
	events           map[int]map[string]int              // by interval and event
	attemptsByWorker map[string]map[int]*attemptStats    // by worker and interval
	failures         map[string]map[string]time.Duration // the first failure, by worker and router
	eventNames       map[string]bool
	cold             *coldSends
}

// attemptStats summarises the attempts at one worker that began in one interval.
type attemptStats struct {
	attempts, failed           int
	cachedTokens, promptTokens float64
	latenciesMs                []float64
}

func newFleetStats(interval time.Duration) *fleetStats {
	return &fleetStats{interval: max(interval, time.Millisecond), routers: make(map[string]bool), events: make(map[int]map[string]int),
		attemptsByWorker: make(map[string]map[int]*attemptStats), failures: make(map[string]map[string]time.Duration), eventNames: make(map[string]bool), cold: newColdSends()}
}

// readAll counts the log files at paths and those in folders at paths.
func (f *fleetStats) readAll(paths []string) error {
	for _, p := range paths {
		files := []string{p}
		if info, err := os.Stat(p); err != nil {
			return err
		} else if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(p, "*.log")); err != nil {
				return err
			}
		}
		slices.Sort(files)
		for _, name := range files {
			file, err := os.Open(name)
			if err != nil {
				return err
			}
			err = f.read(file)
			file.Close()
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

func (f *fleetStats) read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parseLine(s.Text(), &f.start)
		if !ok {
			f.skipped++
			continue
		}
		f.add(l)
	}
	return s.Err()
}

// count counts an event.
func (f *fleetStats) count(at time.Duration, event string) {
	n := int(at / f.interval)
	if f.events[n] == nil {
		f.events[n] = make(map[string]int)
	}
	f.events[n][event]++
	f.eventNames[event] = true
}

// add counts a log entry.
func (f *fleetStats) add(e entry) {
	f.lines++
	router, worker := e.fields["router"], e.fields["worker"]
	f.routers[router] = true
	switch e.fields["msg"] {
	case "answer":
		f.count(e.at, "answer "+e.fields["verdict"])
	case "watch ended":
		f.count(e.at, "discovery lost")
	case "worker list":
		f.count(e.at, "list")
	case "probed":
		f.count(e.at, "probe")
	case "probe failed":
		f.count(e.at, "probe failed")
	case "release failed", "nothing took the release", "full house", "overdue":
		f.count(e.at, e.fields["msg"])
	case "send":
		f.cold.add(e)
	case "attempt":
		began := max(0, e.at-time.Duration(e.float("took_ms"))*time.Millisecond)
		n := int(began / f.interval)
		if f.attemptsByWorker[worker] == nil {
			f.attemptsByWorker[worker] = make(map[int]*attemptStats)
		}
		if f.attemptsByWorker[worker][n] == nil {
			f.attemptsByWorker[worker][n] = &attemptStats{}
		}
		w := f.attemptsByWorker[worker][n]
		w.attempts++
		w.latenciesMs = append(w.latenciesMs, e.float("took_ms"))
		status := e.fields["status"]
		if status == "read" {
			w.cachedTokens, w.promptTokens = w.cachedTokens+e.float("kept"), w.promptTokens+e.float("prompt")
			return
		}
		w.failed++
		stage := "write "
		if e.fields["read"] == "true" {
			stage = "read "
		}
		f.count(e.at, stage+status)
		if status == "errored" || status == "connect_failed" || status == "reset" {
			if f.failures[worker] == nil {
				f.failures[worker] = make(map[string]time.Duration)
			}
			if _, ok := f.failures[worker][router]; !ok {
				f.failures[worker][router] = e.at
			}
		}
	}
}

// row is a row of a table.
type row struct {
	Name  string
	Cells []string
}

// print writes the report, with at most top workers in each table.
func (f *fleetStats) print(out io.Writer, top int) error {
	var intervals []int
	for n := range f.events {
		intervals = append(intervals, n)
	}
	for _, w := range f.attemptsByWorker {
		for n := range w {
			intervals = append(intervals, n)
		}
	}
	slices.Sort(intervals)
	intervals = slices.Compact(intervals)
	header := row{Name: "from s"}
	for _, n := range intervals {
		header.Cells = append(header.Cells, fmt.Sprintf("%.1f", (time.Duration(n)*f.interval).Seconds()))
	}
	var events, workers []row
	for _, event := range slices.Sorted(maps.Keys(f.eventNames)) {
		r := row{Name: event}
		for _, n := range intervals {
			r.Cells = append(r.Cells, blankIfZero(f.events[n][event]))
		}
		events = append(events, r)
	}
	names := slices.SortedFunc(maps.Keys(f.attemptsByWorker), func(a, b string) int {
		return cmp.Or(cmp.Compare(f.totalAttempts(b), f.totalAttempts(a)), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), max(0, top))] {
		r := row{Name: name}
		for _, n := range intervals {
			r.Cells = append(r.Cells, f.attemptsByWorker[name][n].String())
		}
		workers = append(workers, r)
	}
	type failure struct {
		Worker       string
		Routers      int
		First, Later float64
	}
	var failures []failure
	for name, firsts := range f.failures {
		at := slices.Sorted(maps.Values(firsts))
		failures = append(failures, failure{name, len(at), at[0].Seconds(), at[len(at)-1].Seconds()})
	}
	slices.SortFunc(failures, func(a, b failure) int {
		return cmp.Or(cmp.Compare(b.Routers, a.Routers), cmp.Compare(a.Worker, b.Worker))
	})
	return reportTemplate.Execute(out, map[string]any{"Routers": len(f.routers), "Lines": f.lines, "Passed": f.skipped, "Head": header,
		"Cold": f.cold.windows(top), "Budget": f.cold.budget, "Events": events, "Workers": workers, "Met": failures[:min(len(failures), max(0, top))]})
}

// totalAttempts returns the number of attempts at a worker.
func (f *fleetStats) totalAttempts(worker string) (n int) {
	for _, s := range f.attemptsByWorker[worker] {
		n += s.attempts
	}
	return n
}

// String formats a cell: the number of attempts, after "!" that of failed ones, the median latency in ms, and the percentage
// of prompt tokens found in the cache by reads.
func (s *attemptStats) String() string {
	if s == nil {
		return ""
	}
	slices.Sort(s.latenciesMs)
	text := fmt.Sprintf("%d", s.attempts)
	if s.failed > 0 {
		text += fmt.Sprintf("!%d", s.failed)
	}
	text += fmt.Sprintf(" %.0f", s.latenciesMs[len(s.latenciesMs)/2])
	if s.promptTokens > 0 {
		text += fmt.Sprintf(" %.0f%%", 100*s.cachedTokens/s.promptTokens)
	}
	return text
}

func blankIfZero(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

var reportTemplate = template.Must(template.New("report").Parse(`{{.Routers}} routers, {{.Lines}} lines{{if .Passed}}, {{.Passed}} skipped{{end}}

{{define "row"}}{{printf "%-24s" .Name}}{{range .Cells}}{{printf " %14s" .}}{{end}}
{{end -}}
events of the whole fleet
{{template "row" .Head}}{{range .Events}}{{template "row" .}}{{end}}
attempts at the busiest workers: count, !failed, median ms, share of prompt tokens kept in the cache
{{template "row" .Head}}{{range .Workers}}{{template "row" .}}{{end}}
{{- if .Met}}
workers that failed: routers that saw a failure, seconds of the first router's and the last router's first failure
{{range .Met}}{{printf "%-24s %4d %8.2f %8.2f" .Worker .Routers .First .Later}}
{{end}}{{end}}
{{- if .Cold}}
cold workers, from debug lines: sends of all routers in the fullest window of {{.Budget.Window}}, their ratio to the budget
({{.Budget.Multiple}} times {{.Budget.From}} of the most sends to a warm worker of the kind in a window), seconds from the start to the end of the
window, share of sends by routers that had been told of the start, sends in the whole ramp of {{.Budget.Ramp}}
{{range .Cold}}{{printf "%-24s kind %s %4d sends %6.2f of %.1f at %6.2f, %3.0f%% told, %4d in all by %d routers" .Worker .Kind .Most .Part .Allowed .At .Told .All .Routers}}
{{end}}{{end}}`))
