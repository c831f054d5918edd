// Package clockstep builds a program whose wall clock tests can step while it runs, as an operator or NTP steps that of a
// machine; its monotonic clock runs on. Go reads the clock without the C library, so a preloaded library can't do this.
// Instead the toolchain's -overlay puts a changed copy of the standard library's time.Now, made from the installed source
// at build time, and one file more into the program: on SIGUSR1 it reads the offset, in whole seconds, from a file.
package clockstep

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Variable names the file with the offset in the program's environment.
const Variable = "CLOCKSTEP_FILE"

const (
	original = "	sec, nsec, mono := runtimeNow()\n" // in time.Now of Go 1.26
	stepped  = original + "	sec += ClockStep\n"
	variable = "\n// ClockStep is added to the wall clock, in seconds.\nvar ClockStep int64\n"

	listener = `package main

import (
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() {
	step := func() {
		text, _ := os.ReadFile(os.Getenv("` + Variable + `"))
		time.ClockStep, _ = strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	}
	step()
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			step()
		}
	}()
}
`
)

// Build builds the program in the package folder source and writes it to binary.
func Build(source, binary string) error {
	source, err := filepath.Abs(source)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "clockstep")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	overlay, err := write(dir, source)
	if err != nil {
		return err
	}
	build := exec.Command("go", "build", "-overlay", overlay, "-o", binary, ".")
	build.Dir = source
	out, err := build.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// write writes the changed files and returns the overlay's.
func write(dir, source string) (string, error) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	clock := filepath.Join(strings.TrimSpace(string(root)), "src", "time", "time.go")
	text, err := os.ReadFile(clock)
	if err != nil {
		return "", err
	}
	if strings.Count(string(text), original) != 1 {
		return "", errors.New("this toolchain's time.Now reads the clock in another way")
	}
	changed := strings.Replace(string(text), original, stepped, 1) + variable
	files := map[string]string{"time.go": changed, "listener.go": listener}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	replace := map[string]string{clock: filepath.Join(dir, "time.go"),
		filepath.Join(source, "zz_clockstep.go"): filepath.Join(dir, "listener.go")}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, overlay, 0o600)
}

// Write sets the offset in a file, for a program that starts or is told with Tell.
func Write(file string, seconds int) error {
	return os.WriteFile(file, []byte(strconv.Itoa(seconds)), 0o600)
}

// Tell has a running program take the offset in its file.
func Tell(p *os.Process) error { return p.Signal(syscall.SIGUSR1) }
