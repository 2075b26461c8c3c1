package generator

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of CPU time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the indexes of the CPU times among the fields after the command's name.
	userField   = 11
	systemField = 12
)

// processUsage is the CPU time that a process has used and its resident memory in bytes.
type processUsage struct {
	cpuTime time.Duration
	memory  int64
}

// readUsage returns the usage of a process. It is zero if pid is 0 or the process does not exist.
func readUsage(pid int) processUsage {
	if pid == 0 {
		return processUsage{}
	}
	directory := "/proc/" + strconv.Itoa(pid)
	return processUsage{
		cpuTime: readCPUTime(directory + "/stat"),
		memory:  readMemory(directory + "/status"),
	}
}

// readCPUTime returns the user and system time in a process's stat file.
func readCPUTime(file string) time.Duration {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// readMemory returns the resident memory in a process's status file, in bytes.
func readMemory(file string) int64 {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}
