// Package clockstep builds programs whose wall clock tests can step while they run, as an operator or NTP steps that
// of a machine. The monotonic clock is not affected. Go reads the clock without the C library, so a preloaded library
// cannot do this. Instead, Build uses the toolchain's -overlay option to replace the standard library's time.Now with
// a modified copy, made at build time from the installed source, and to add one file to the program. That file reads
// the offset, in whole seconds, from a file at the start and on SIGUSR1.
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

// FileVariable is the environment variable with the path of the file that holds the offset.
const FileVariable = "CLOCKSTEP_FILE"

const (
	clockRead           = "	sec, nsec, mono := runtimeNow()\n" // part of time.Now in Go 1.26
	clockReadWithOffset = clockRead + "	sec += ClockStep\n"
	offsetDeclaration   = "\n// ClockStep is added to the wall clock, in seconds.\nvar ClockStep int64\n"

	signalHandler = `package main

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
		text, _ := os.ReadFile(os.Getenv("` + FileVariable + `"))
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

// Build builds the program in the package directory source and writes it to binary.
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
	overlay, err := writeOverlay(dir, source)
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

// writeOverlay writes the modified files and returns the path of the overlay file.
func writeOverlay(dir, source string) (string, error) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	clock := filepath.Join(strings.TrimSpace(string(root)), "src", "time", "time.go")
	text, err := os.ReadFile(clock)
	if err != nil {
		return "", err
	}
	if strings.Count(string(text), clockRead) != 1 {
		return "", errors.New("this toolchain's time.Now does not contain the expected call of runtimeNow")
	}
	changed := strings.Replace(string(text), clockRead, clockReadWithOffset, 1) + offsetDeclaration
	files := map[string]string{"time.go": changed, "listener.go": signalHandler}
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

// WriteOffset writes the offset to a file. A program reads it when it starts or when Reload is called.
func WriteOffset(file string, seconds int) error {
	return os.WriteFile(file, []byte(strconv.Itoa(seconds)), 0o600)
}

// Reload makes a running program read the offset again.
func Reload(p *os.Process) error { return p.Signal(syscall.SIGUSR1) }
