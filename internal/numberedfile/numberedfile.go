// Package numberedfile lists files that processes have named after their numbers.
package numberedfile

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Numbers returns each number for which there is a file whose path is prefix, the number and suffix. The prefix contains the
// folder and a part of the file's name.
func Numbers(prefix, suffix string) ([]int, error) {
	start := filepath.Base(prefix)
	entries, err := os.ReadDir(filepath.Dir(prefix))
	var numbers []int
	for _, entry := range entries {
		text, hasStart := strings.CutPrefix(entry.Name(), start)
		text, hasEnd := strings.CutSuffix(text, suffix)
		if number, err := strconv.Atoi(text); err == nil && hasStart && hasEnd {
			numbers = append(numbers, number)
		}
	}
	return numbers, err
}
