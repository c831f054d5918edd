package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// play is one run of a case.
type play struct {
	*record
	dir     string // temporary
	trouble bool   // the disruption takes place
}

// cases holds the cases by number. Each reports what broke the rule, or nothing if it held.
var cases = map[string]func(*play) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "second")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	p := &play{record: &record{start: time.Now(), file: file}, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	watchdog := time.AfterFunc(115*time.Second, func() {
		p.add("case", "", "could not run: not done after 115 s")
		os.RemoveAll(dir)
		os.Exit(2) // routers end with their parent
	})
	defer watchdog.Stop()
	broken, err := cases[name](p)
	if log, readErr := os.ReadFile(filepath.Join(dir, "router.log")); readErr == nil && os.Getenv("KEEP") != "" {
		fmt.Fprintf(os.Stderr, "%s\n%s", dir, log)
	}
	switch {
	case err != nil:
		p.add("case", "", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			p.add("case", "", "broken: %s", b)
			fmt.Println("broken:", b)
		}
		return 1
	}
	p.add("case", "", "the rule held")
	fmt.Println("the rule held")
	return 0
}
