package settings

import (
	"fmt"
	"net/netip"
	"time"
)

func (c *checker) daemon(d Daemon) {
	if !c.read() {
		return
	}
	c.name("name", d.Name)
	c.name("cluster", d.Cluster)
	c.name("failure-domain", d.FailureDomain)
	c.address("callers-listen", d.CallersListen)
	c.address("peer-listen", d.PeerListen)
	c.address("subcalls-listen", d.SubcallsListen)
	c.address("operators-listen", d.OperatorsListen)
	c.distinct(
		[]string{"callers-listen", "peer-listen", "subcalls-listen", "operators-listen"},
		[]netip.AddrPort{d.CallersListen, d.PeerListen, d.SubcallsListen, d.OperatorsListen},
	)
	c.advertised(d.PeerListen, d.PeerAdvertise)
	c.controls(d.Control)
	c.between("freshness", d.Freshness, minFreshness, maxFreshness)
	if d.FarCost < 1 || d.FarCost > maxFarCost {
		c.report("far-cost", fmt.Sprint(d.FarCost), "a number from 1 to 100")
	}
	c.between("coasting", d.Coasting, 0, maxFreshness)
	c.timeouts(d.Timeouts)
	c.log(d.Log)
	c.tls(d.TLS)
}

func (c *checker) controls(addresses []netip.AddrPort) {
	if len(addresses) == 0 {
		c.report("control", "nothing", "the peer addresses of all control instances")
	}
	seen := map[netip.AddrPort]bool{}
	for i, address := range addresses {
		name := fmt.Sprintf("control[%d]", i)
		c.address(name, address)
		if seen[address] {
			c.report(name, shown(address), "each control instance once")
		}
		seen[address] = true
	}
}

func (c *checker) control(s Control) {
	if !c.read() {
		return
	}
	c.name("name", s.Name)
	c.name("cluster", s.Cluster)
	c.name("failure-domain", s.FailureDomain)
	c.address("peer-listen", s.PeerListen)
	c.address("operators-listen", s.OperatorsListen)
	c.distinct(
		[]string{"peer-listen", "operators-listen"},
		[]netip.AddrPort{s.PeerListen, s.OperatorsListen},
	)
	c.advertised(s.PeerListen, s.PeerAdvertise)
	c.dataFolder(s.DataFolder)
	c.members(s)
	if s.Voters < 0 || s.Voters > maxMembers || s.Voters > 0 && s.Voters%2 == 0 {
		c.report("voters", fmt.Sprint(s.Voters), "0, 1, 3, 5 or 7")
	}
	c.between("heartbeat", s.Heartbeat, minHeartbeat, time.Minute)
	c.between("election-timeout", s.ElectionTimeout, heartbeatsPerElect*s.Heartbeat, maxTimeout)
	c.timeouts(s.Timeouts)
	c.log(s.Log)
	c.tls(s.TLS)
}

func (c *checker) members(s Control) {
	if len(s.Members) > maxMembers {
		c.report("members", fmt.Sprint(len(s.Members)), "at most 7 members")
	}
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, m := range s.Members {
		at := fmt.Sprintf("members[%d]", i)
		c.name(at+".name", m.Name)
		c.address(at+".address", m.Address)
		if names[m.Name] {
			c.report(at+".name", quoted(m.Name), "a name of its own")
		}
		if m.Address.IsValid() && addresses[m.Address] {
			c.report(at+".address", shown(m.Address), "an address of its own")
		}
		names[m.Name] = true
		addresses[m.Address] = true
	}
	c.self(s, names)
}

// self reports a control instance that is missing from the members it starts with.
func (c *checker) self(s Control, names map[string]bool) {
	if len(s.Members) == 0 {
		c.report("members", "nothing", "the control instances of the cluster, or those to join")
		return
	}
	if !s.Join && !names[s.Name] {
		c.report("members", "no member named "+quoted(s.Name), "this instance among the members, or join = true")
	}
}
