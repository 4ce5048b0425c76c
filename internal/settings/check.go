package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/tomlfile"
)

const (
	maxTimeout         = 10 * time.Minute
	minFreshness       = 500 * time.Millisecond
	maxFreshness       = time.Minute
	minHeartbeat       = 10 * time.Millisecond
	heartbeatsPerElect = 3
	maxMembers         = 7
	maxFarCost         = 100
)

// checker collects the problems of one settings file.
type checker struct {
	file     string
	lines    tomlfile.Lines
	problems configuration.Problems
}

// decode reads the file into a settings struct.
func decode(path string, into any) *checker {
	c := &checker{file: path}
	data, err := os.ReadFile(path)
	if err != nil {
		c.problems = configuration.Problems{{File: path, Found: err.Error(), Expected: "a readable settings file"}}
		return c
	}
	lines, faults := tomlfile.Decode(data, into)
	c.lines = lines
	c.problems = configuration.FileProblems(path, faults)
	return c
}

// read reports whether the file could be read at all.
func (c *checker) read() bool { return c.lines != nil }

func (c *checker) report(name, found, expected string) {
	if c.faulty(name) {
		return
	}
	c.problems = append(c.problems, configuration.Problem{
		File: c.file, Line: c.lines.Of(name), Name: name, Found: found, Expected: expected,
	})
}

// faulty reports whether the value of name could not be decoded, which is reported already.
func (c *checker) faulty(name string) bool {
	return slices.ContainsFunc(c.problems, func(p configuration.Problem) bool { return p.Name == name })
}

func (c *checker) name(name, value string) {
	if !configuration.ValidName(value) {
		c.report(name, quoted(value), "a kebab-case name of letters, digits and hyphens")
	}
}

func (c *checker) address(name string, value netip.AddrPort) {
	if !value.IsValid() || value.Port() == 0 {
		c.report(name, shown(value), `an address and port such as "127.0.0.1:7100"`)
	}
}

// advertised reports an address that other instances can't dial.
func (c *checker) advertised(listen, advertise netip.AddrPort) {
	if advertise.IsValid() {
		c.address("peer-advertise", advertise)
		listen = advertise
	}
	if listen.IsValid() && listen.Addr().IsUnspecified() {
		c.report("peer-advertise", shown(advertise), "an address that other instances can dial, since peer-listen is "+listen.String())
	}
}

// distinct reports two listeners on one address.
func (c *checker) distinct(names []string, addresses []netip.AddrPort) {
	for i, address := range addresses {
		first := slices.Index(addresses, address)
		if address.IsValid() && first < i {
			c.report(names[i], shown(address), "an address other than that of "+names[first])
		}
	}
}

func (c *checker) between(name string, value, low, high time.Duration) {
	if value < low || value > high {
		c.report(name, value.String(), fmt.Sprintf("a duration from %s to %s", low, high))
	}
}

func (c *checker) timeouts(t Timeouts) {
	c.between("timeouts.read-header", t.ReadHeader, time.Millisecond, maxTimeout)
	c.between("timeouts.idle", t.Idle, time.Millisecond, maxTimeout)
	c.between("timeouts.body-stall", t.BodyStall, time.Millisecond, maxTimeout)
	c.between("timeouts.dial", t.Dial, time.Millisecond, maxTimeout)
	c.between("timeouts.drain", t.Drain, time.Millisecond, maxTimeout)
	c.between("timeouts.callers-notice", t.CallersNotice, 0, t.Drain)
	c.between("timeouts.announcement", t.Announcement, time.Millisecond, maxTimeout)
}

func (c *checker) log(l Log) {
	if !slices.Contains(levels, l.Level) {
		c.report("log.level", quoted(l.Level), "one of "+strings.Join(levels, ", "))
	}
	if !slices.Contains(formats, l.Format) {
		c.report("log.format", quoted(l.Format), "one of "+strings.Join(formats, ", "))
	}
}

// dataFolder reports a folder that neither is there nor can be made in its parent.
func (c *checker) dataFolder(path string) {
	if path == "" {
		c.report("data-folder", "nothing", "a folder on a disk of this instance")
		return
	}
	for at := filepath.Clean(path); ; at = filepath.Dir(at) {
		info, err := os.Stat(at)
		if os.IsNotExist(err) && at != filepath.Dir(at) {
			continue
		}
		if err != nil || !info.IsDir() {
			c.report("data-folder", quoted(path), "a folder, or a path at which one can be made")
		}
		return
	}
}

func quoted(text string) string {
	if text == "" {
		return "nothing"
	}
	return strconv.Quote(text)
}

func shown(address netip.AddrPort) string {
	if !address.IsValid() {
		return "nothing"
	}
	return address.String()
}
