//go:build review

package main

import (
	"errors"
	"fmt"
	"os/exec"
	"testing"
)

// The cases of the second review, as tests: go test -tags review ./review/second. Build first, see review/build-2.sh.

func TestSecondReviewDuplicate(t *testing.T) { runCases(t, 6) }

func TestSecondReviewLost(t *testing.T) { runCases(t, 7, 8, 9, 10) }

func runCases(t *testing.T, numbers ...int) {
	for _, number := range numbers {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			text, err := exec.Command("bash", fmt.Sprintf("../%d/run.sh", number)).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Errorf("the rule was broken:\n%s", text)
			case err != nil:
				t.Skipf("the case could not run: %v\n%s", err, text)
			}
		})
	}
}
