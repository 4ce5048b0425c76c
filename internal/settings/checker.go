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
	maxTimeout               = 10 * time.Minute
	minFreshness             = 500 * time.Millisecond
	maxFreshness             = time.Minute
	minHeartbeat             = 10 * time.Millisecond
	minHeartbeatsPerElection = 3
	maxMembers               = 7
	maxFarCost               = 100
	maxConnectionWait        = time.Second
)

// checker collects the problems of one settings file.
type checker struct {
	file     string
	lines    tomlfile.Lines
	problems configuration.Problems
}

// decode decodes the file at path into a settings struct and returns a checker that holds the decoding problems.
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

// fileRead reports whether the settings file could be read.
func (c *checker) fileRead() bool { return c.lines != nil }

// report records a problem with the setting name unless it has one already.
func (c *checker) report(name, found, expected string) {
	if c.reported(name) {
		return
	}
	c.problems = append(c.problems, configuration.Problem{
		File: c.file, Line: c.lines.Of(name), Name: name, Found: found, Expected: expected,
	})
}

// reported reports whether a problem with the setting name is recorded, for example by the decoder.
func (c *checker) reported(name string) bool {
	return slices.ContainsFunc(c.problems, func(p configuration.Problem) bool { return p.Name == name })
}

func (c *checker) checkName(name, value string) {
	if !configuration.ValidName(value) {
		c.report(name, quoteOrNothing(value), "a kebab-case name of letters, digits and hyphens")
	}
}

func (c *checker) checkAddress(name string, value netip.AddrPort) {
	if !value.IsValid() || value.Port() == 0 {
		c.report(name, addressOrNothing(value), `an address and port such as "127.0.0.1:7100"`)
	}
}

// checkAdvertised checks that other instances can dial the advertised address, which defaults to the listen address.
func (c *checker) checkAdvertised(listen, advertise netip.AddrPort) {
	if advertise.IsValid() {
		c.checkAddress("peer-advertise", advertise)
		listen = advertise
	}
	if listen.IsValid() && listen.Addr().IsUnspecified() {
		c.report("peer-advertise", addressOrNothing(advertise), "an address that other instances can dial, since peer-listen is "+listen.String())
	}
}

// checkDistinct reports each address that an earlier listener uses. The names and addresses are parallel slices.
func (c *checker) checkDistinct(names []string, addresses []netip.AddrPort) {
	for i, address := range addresses {
		first := slices.Index(addresses, address)
		if address.IsValid() && first < i {
			c.report(names[i], addressOrNothing(address), "an address other than that of "+names[first])
		}
	}
}

func (c *checker) checkDuration(name string, value, low, high time.Duration) {
	if value < low || value > high {
		c.report(name, value.String(), fmt.Sprintf("a duration from %s to %s", low, high))
	}
}

func (c *checker) checkTimeouts(t Timeouts) {
	c.checkDuration("timeouts.read-header", t.ReadHeader, time.Millisecond, maxTimeout)
	c.checkDuration("timeouts.idle", t.Idle, time.Millisecond, maxTimeout)
	c.checkDuration("timeouts.body-stall", t.BodyStall, time.Millisecond, maxTimeout)
	c.checkDuration("timeouts.dial", t.Dial, time.Millisecond, maxTimeout)
	c.checkDuration("timeouts.drain", t.Drain, time.Millisecond, maxTimeout)
	c.checkDuration("timeouts.callers-notice", t.CallersNotice, 0, t.Drain)
	c.checkDuration("timeouts.announcement", t.Announcement, time.Millisecond, maxTimeout)
}

func (c *checker) checkResources(r Resources) {
	c.checkCount("resources.memory", r.Memory, minMemory, maxMemory)
	c.checkCount("resources.descriptors", r.Descriptors, minDescriptors, maxDescriptors)
}

func (c *checker) checkCount(name string, value, low, high int) {
	if value < low || value > high {
		c.report(name, strconv.Itoa(value), fmt.Sprintf("a number from %d to %d", low, high))
	}
}

func (c *checker) checkLog(l Log) {
	if !slices.Contains(levels, l.Level) {
		c.report("log.level", quoteOrNothing(l.Level), "one of "+strings.Join(levels, ", "))
	}
	if !slices.Contains(formats, l.Format) {
		c.report("log.format", quoteOrNothing(l.Format), "one of "+strings.Join(formats, ", "))
	}
}

// checkDataFolder checks that path is a folder, or that its closest existing ancestor is one in which it can be
// created.
func (c *checker) checkDataFolder(path string) {
	if path == "" {
		c.report("data-folder", "nothing", "a folder on a disk of this instance")
		return
	}
	for dir := filepath.Clean(path); ; dir = filepath.Dir(dir) {
		info, err := os.Stat(dir)
		if os.IsNotExist(err) && dir != filepath.Dir(dir) {
			continue
		}
		if err != nil || !info.IsDir() {
			c.report("data-folder", quoteOrNothing(path), "a folder, or a path at which one can be made")
		}
		return
	}
}

// quoteOrNothing returns the quoted text, or "nothing" if text is empty.
func quoteOrNothing(text string) string {
	if text == "" {
		return "nothing"
	}
	return strconv.Quote(text)
}

// addressOrNothing returns the text of address, or "nothing" if address is not valid.
func addressOrNothing(address netip.AddrPort) string {
	if !address.IsValid() {
		return "nothing"
	}
	return address.String()
}
