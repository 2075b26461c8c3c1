package measurer

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
)

// unknown replaces a value that cannot be read from the system.
const unknown = "unknown"

// machine describes the machine and its load as key=value pairs.
func machine() string {
	return fmt.Sprintf("cores=%d memory=%s load=%s go=%s", runtime.NumCPU(), memory(), loadAverage(), runtime.Version())
}

// memory returns the size of the machine's memory, with its unit.
func memory() string {
	data, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(data)) {
		words := strings.Fields(line)
		if len(words) < 2 || words[0] != "MemTotal:" {
			continue
		}
		kilobytes, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			return unknown
		}
		return fmt.Sprintf("%dGiB", kilobytes>>20)
	}
	return unknown
}

// loadAverage returns the system's load average over one minute.
func loadAverage() string {
	data, _ := os.ReadFile("/proc/loadavg")
	first, _, found := strings.Cut(string(data), " ")
	if !found {
		return unknown
	}
	return first
}
