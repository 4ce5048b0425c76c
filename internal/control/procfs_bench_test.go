package control_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"
)

const clockTick = 10 * time.Millisecond

func benchAddress(b *testing.B) netip.AddrPort {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// cpuOf returns the user and system time of a process.
func cpuOf(b *testing.B, pid int) time.Duration {
	b.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	var user, system int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		b.Fatal(err)
	}
	return time.Duration(user+system) * clockTick
}

// residentOf returns the resident memory of a process in KiB.
func residentOf(b *testing.B, pid int) int64 {
	b.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(content)) {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			return kib
		}
	}
	b.Fatal("/proc status has no VmRSS line")
	return 0
}

// bytesOf returns the bytes that a process has read and written, including on sockets.
func bytesOf(b *testing.B, pid int) int64 {
	b.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		b.Fatal(err)
	}
	var read, written int64
	if _, err := fmt.Sscanf(string(content), "rchar: %d\nwchar: %d", &read, &written); err != nil {
		b.Fatal(err)
	}
	return read + written
}
