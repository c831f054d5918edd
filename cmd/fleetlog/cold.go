package main

import (
	"cmp"
	"slices"
	"time"
)

// budget holds the rule on cold workers: how much all routers together may send to a worker that has just started. The
// values are those of the rules in the routers' settings.
type budget struct {
	Window   time.Duration `default:"2s" help:"Length of the window in which the attempts at a cold worker are counted."`
	Multiple float64       `default:"2.5" help:"Attempts that a cold worker may be sent in a window, as a multiple of its present capacity."`
	From     float64       `default:"0.34" help:"Share of its full capacity that a worker has when it starts."`
	Ramp     time.Duration `default:"13s" help:"A worker is warm this long after its start."`
}

// send is the beginning of an attempt.
type send struct {
	at        time.Duration
	router    string
	startedAt time.Duration // start of the worker according to that router's log, 0 if it has none
}

// coldSends collects the sends of all routers and compares those to cold workers with the rule's budget. The comparison is an
// estimate: the rule is defined by the true capacities of the workers, which logs don't hold.
type coldSends struct {
	budget   budget
	byWorker map[string][]send
	kinds    map[string]string // by worker
	longest  int
}

// maxSendsPerWorker bounds the memory for the sends to one worker; later ones are ignored. No fleet sends as many in a day.
const maxSendsPerWorker = 1 << 20

func newColdSends() *coldSends {
	return &coldSends{byWorker: make(map[string][]send), kinds: make(map[string]string)}
}

// add counts a log entry of a send.
func (c *coldSends) add(e entry) {
	worker := e.fields["worker"]
	if worker == "" || len(c.byWorker[worker]) >= maxSendsPerWorker {
		return
	}
	s := send{at: e.at, router: e.fields["router"]}
	if uptime := e.float("up_ms"); uptime > 0 {
		s.startedAt = e.at - time.Duration(uptime*float64(time.Millisecond))
	}
	c.kinds[worker] = e.fields["kind"]
	c.byWorker[worker] = append(c.byWorker[worker], s)
}

// window describes the window in which a cold worker was sent most. Part is Most divided by Allowed, At the number of
// seconds from the worker's start to the window's end, Told the percentage of the sends by routers that logged the start,
// and All the number of sends in the whole ramp.
type window struct {
	Worker, Kind  string
	Most, All     int
	Part, Allowed float64
	At, Told      float64
	Routers       int
}

// startTolerance is the largest difference between two routers' readings of one start by their own clocks.
const startTolerance = 20 * time.Millisecond

// windows returns the fullest window of up to top workers that started during the logs, those that used the largest part of
// their budget first.
func (c *coldSends) windows(top int) []window {
	warmPeak := make(map[string]float64) // by kind: the most sends to a warm worker in a window
	var windows []window
	for worker, sends := range c.byWorker {
		slices.SortFunc(sends, func(a, b send) int { return cmp.Compare(a.at, b.at) })
		var startedAt time.Duration // the latest start that any router logged
		for _, s := range sends {
			if s.startedAt > startedAt+startTolerance {
				startedAt = s.startedAt
			}
		}
		kind := c.kinds[worker]
		row := window{Worker: worker, Kind: kind}
		routers, first := make(map[string]bool), 0
		for i, s := range sends {
			for sends[first].at <= s.at-c.budget.Window {
				first++
			}
			cold := startedAt > 0 && s.at >= startedAt && s.at < startedAt+c.budget.Ramp
			switch {
			case cold:
				row.All++
				routers[s.router] = true
				informed, count := 0, 0
				for _, t := range sends[first : i+1] {
					if t.at >= startedAt {
						count++
						if t.startedAt+startTolerance >= startedAt {
							informed++
						}
					}
				}
				if count > row.Most {
					row.Most, row.At, row.Told = count, (s.at - startedAt).Seconds(), 100*float64(informed)/float64(count)
				}
			case startedAt == 0 || s.at >= startedAt+c.budget.Ramp || s.at < startedAt:
				warmPeak[kind] = max(warmPeak[kind], float64(i-first+1))
			}
		}
		if row.All > 0 {
			row.Routers = len(routers)
			windows = append(windows, row)
		}
	}
	for i := range windows {
		windows[i].Allowed = c.budget.Multiple * c.budget.From * max(1, warmPeak[windows[i].Kind])
		windows[i].Part = float64(windows[i].Most) / windows[i].Allowed
	}
	slices.SortFunc(windows, func(a, b window) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Worker, b.Worker))
	})
	return windows[:min(len(windows), max(0, top))]
}
