package onerouter

import (
	"fmt"
	"io"
	"text/tabwriter"

	"rowanyard/internal/scale/hollow"
	"rowanyard/internal/scale/linefit"
)

const bytesPerMB = 1 << 20

// WriteTable writes a line for each result, and for each rate of requests the lines fitted to the measurements over
// the number of workers.
func WriteTable(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\trequests/s\tserved\tCPU %\tMB\tdescriptors\tthreads\tconnections/s\tprobes/s\tprobe B/s\treleases/s\trelease B/s\tdiscovery B/s\tscrapes/s\tscrape B/s\tlog B/s\tready s\t")
	for _, r := range results {
		probes, releases := r.WorkerCounts.ByKind[hollow.Probe], r.WorkerCounts.ByKind[hollow.Release]
		fmt.Fprintf(table, "%d\t%g\t%.3f\t%.2f\t%.1f\t%d\t%d\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.2f\t\n",
			r.Workers, r.Rate, r.servedShare(), 100*r.cpuShare(), float64(r.Resident)/bytesPerMB, r.Descriptors, r.Threads,
			r.PerSecond(r.WorkerCounts.Connections), r.PerSecond(probes.Messages), r.PerSecond(probes.In+probes.Out),
			r.PerSecond(releases.Messages), r.PerSecond(releases.In+releases.Out),
			r.PerSecond(r.Discovery.In+r.Discovery.Out), r.PerSecond(r.Scrapes.Succeeded), r.PerSecond(r.Scrapes.Bytes), r.PerSecond(r.LogBytes), r.StartupTime.Seconds())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeFits(out, results)
}

// fittedValue is a measurement to which a line is fitted.
type fittedValue struct {
	name string
	of   func(Result) float64
}

var fittedValues = []fittedValue{
	{"CPU %", func(r Result) float64 { return 100 * r.cpuShare() }},
	{"MB", func(r Result) float64 { return float64(r.Resident) / bytesPerMB }},
	{"descriptors", func(r Result) float64 { return float64(r.Descriptors) }},
	{"probes/s", func(r Result) float64 { return r.PerSecond(r.WorkerCounts.ByKind[hollow.Probe].Messages) }},
	{"connections/s", func(r Result) float64 { return r.PerSecond(r.WorkerCounts.Connections) }},
}

// writeFits writes the fitted lines of each rate.
func writeFits(out io.Writer, results []Result) error {
	for _, rate := range distinctRates(results) {
		var at []Result
		var workers []float64
		for _, r := range results {
			if r.Rate == rate {
				at = append(at, r)
				workers = append(workers, float64(r.Workers))
			}
		}
		for _, m := range fittedValues {
			values := make([]float64, len(at))
			for i, r := range at {
				values[i] = m.of(r)
			}
			line, err := linefit.Fit(workers, values)
			if err != nil {
				continue // the results have one number of workers only
			}
			if _, err := fmt.Fprintf(out, "%g requests/s, %s by worker: %v\n", rate, m.name, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// distinctRates returns the rates of the results without duplicates, in order of appearance.
func distinctRates(results []Result) []float64 {
	var all []float64
	seen := make(map[float64]bool)
	for _, r := range results {
		if !seen[r.Rate] {
			seen[r.Rate] = true
			all = append(all, r.Rate)
		}
	}
	return all
}

// cpuShare returns the processor time as a share of one core.
func (r Result) cpuShare() float64 { return r.CPU.Seconds() / r.Window.Seconds() }

// servedShare returns the share of requests that were served, or 1 if there were none.
func (r Result) servedShare() float64 {
	if r.Load.Sent == 0 {
		return 1
	}
	return float64(r.Load.Served) / float64(r.Load.Sent)
}
