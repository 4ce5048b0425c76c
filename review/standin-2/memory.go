package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// residentMiB returns the memory that the process holds.
func residentMiB(p *process) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib >> 10
		}
	}
	return 0
}
