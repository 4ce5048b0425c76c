package configuration

import (
	"math"
	"regexp"
	"strings"
	"time"

	"sapphirespread.example/key"
	"sapphirespread.example/route"
)

const (
	maxShare                   = 1000
	maxRate                    = 10_000_000
	maxBurst                   = 10_000_000
	maxLevel                   = 31
	maxRetryBudget             = 1
	maxMinimumRetriesPerSecond = 1000
	maxColdRate                = 1_000_000
	maxExtraAttempts           = 10
	maxDeadline                = 10 * time.Minute
	maxPathLength              = 1024
	maxWeight                  = 1_000_000
)

var (
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

func (c *checker) checkWorkspace(w Workspace) {
	o := Object(w)
	c.checkReference(o, "limit", KindLimit, w.Limit)
	if w.Priority != "" {
		c.checkReference(o, "priority", KindPriority, w.Priority)
	}
	c.expect(inRange(w.Share, math.SmallestNonzeroFloat64, maxShare), o, "share", w.Share, "a number above 0, at most 1000")
}

func (c *checker) checkKey(k Key) {
	o := Object(k)
	c.checkReference(o, "workspace", KindWorkspace, k.Workspace)
	_, ok := key.ParseHash(k.Hash)
	c.expect(ok, o, "hash", k.Hash, `"sha256:" and 64 lower-case hexadecimal digits, as key create writes it`)
	if other, taken := c.keyByHash[k.Hash]; ok && taken {
		c.expect(false, o, "hash", k.Hash, "a hash other than that of keys."+other)
	}
	c.keyByHash[k.Hash] = k.Name
}

func (c *checker) checkService(s Service) {
	o := Object(s)
	c.expect(inRange(s.RetryBudget, 0, maxRetryBudget), o, "retry-budget", s.RetryBudget, "a number from 0 to 1")
	minimum := s.MinimumRetriesPerSecond
	c.expect(inRange(minimum, 0, maxMinimumRetriesPerSecond), o, "minimum-retries-per-second", minimum, "a number from 0 to 1000")
	c.expect(s.ColdStart >= 0 && s.ColdStart <= maxDeadline, o, "cold-start", s.ColdStart, `a duration from 0 to "10m"`)
	c.expect(inRange(s.ColdRate, 0, maxColdRate), o, "cold-rate", s.ColdRate, "a number from 0 to 1000000")
}

func (c *checker) checkPriority(p Priority) {
	o := Object(p)
	if p.Level == unsetLevel {
		c.reportMissing(o, "level", "a whole number from 0 (shed last) to 31")
		return
	}
	c.expect(p.Level >= 0 && p.Level <= maxLevel, o, "level", p.Level, "a whole number from 0 (shed last) to 31")
	if other, taken := c.priorityByLevel[p.Level]; taken && other != p.Name {
		c.expect(false, o, "level", p.Level, "a level other than that of priorities."+other)
	}
	c.priorityByLevel[p.Level] = p.Name
}

func (c *checker) checkLimit(l Limit) {
	o := Object(l)
	c.expect(inRange(l.Rate, math.SmallestNonzeroFloat64, maxRate), o, "rate", l.Rate, "requests per second above 0, at most 10000000")
	c.expect(l.Burst >= 1 && l.Burst <= maxBurst, o, "burst", l.Burst, "a whole number of requests from 1 to 10000000")
}

func (c *checker) checkRoute(r Route) {
	o := Object(r)
	c.checkServices(o, r)
	c.checkReference(o, "priority", KindPriority, r.Priority)
	for _, name := range r.Workspaces {
		c.checkReference(o, "workspaces", KindWorkspace, name)
	}
	c.expect(!hasDuplicate(r.Workspaces), o, "workspaces", r.Workspaces, "each workspace once")
	c.checkPattern(o, r)
	c.expect(r.Deadline > 0 && r.Deadline <= maxDeadline, o, "deadline", r.Deadline, `a duration above 0, at most "10m"`)
	c.expect(r.MaxHeaderBytes >= 0, o, "max-header-bytes", r.MaxHeaderBytes, "a whole number of bytes, or 0 for no limit")
	c.expect(r.MaxBodyBytes >= 0, o, "max-body-bytes", r.MaxBodyBytes, "a whole number of bytes, or 0 for no limit")
	c.expect(r.ExtraAttempts >= 0 && r.ExtraAttempts <= maxExtraAttempts, o, "extra-attempts", r.ExtraAttempts, "a whole number from 0 to 10")
	c.expect(r.Objective >= 0 && r.Objective <= maxDeadline, o, "objective", r.Objective, `a duration from 0 to "10m"`)
	c.expect(!r.Open || r.Repeatable || r.Unclaimed, o, "open", r.Open,
		"repeatable = true or unclaimed = true beside it: claims need a workspace, and an open route has none")
	c.expect(!r.Unclaimed || !r.Repeatable, o, "unclaimed", r.Unclaimed, "repeatable = false beside it: a repeatable request has no claim")
	c.expect(!r.Open || len(r.Workspaces) == 0, o, "workspaces", r.Workspaces, "no workspaces on an open route")
}

// checkServices checks the service or the weighted services that the route sends requests to.
func (c *checker) checkServices(o Object, r Route) {
	if len(r.Split) == 0 {
		c.checkReference(o, "service", KindService, r.Service)
		return
	}
	c.expect(r.Service == "", o, "service", r.Service, "nothing beside split")
	var total float64
	var names []string
	for _, weighted := range r.Split {
		c.checkReference(o, "split.service", KindService, weighted.Service)
		c.expect(inRange(weighted.Weight, 0, maxWeight), o, "split.weight", weighted.Weight, "a number from 0 to 1000000")
		total += weighted.Weight
		names = append(names, weighted.Service)
	}
	c.expect(total > 0, o, "split.weight", total, "weights of which one is above 0")
	c.expect(!hasDuplicate(names), o, "split.service", names, "each service once")
}

// checkPattern checks the host, path and methods that the route matches.
func (c *checker) checkPattern(o Object, r Route) {
	c.expect(r.Host == "" || hostPattern.MatchString(r.Host), o, "host", r.Host, "a lower-case host name without a port")
	c.expect(validPath(r), o, "path", r.Path, `an exact path such as "/courts", or a prefix such as "/courts/*"`)
	for _, method := range r.Methods {
		c.expect(methodPattern.MatchString(method), o, "methods", method, "upper-case HTTP methods")
	}
	c.expect(!hasDuplicate(r.Methods), o, "methods", r.Methods, "each method once")
}

func validPath(r Route) bool {
	path, isPrefix := r.pattern().Prefix()
	if len(path) > maxPathLength || strings.ContainsAny(path, "*?#") || !route.Canonical(path) {
		return false
	}
	return isPrefix || path == "/" || !strings.HasSuffix(path, "/")
}

func inRange(value, low, high float64) bool {
	return value >= low && value <= high
}
