package settings

import (
	"fmt"
	"net/netip"
	"time"
)

func (c *checker) checkDaemon(d Daemon) {
	if !c.fileRead() {
		return
	}
	c.checkName("name", d.Name)
	c.checkName("cluster", d.Cluster)
	c.checkName("failure-domain", d.FailureDomain)
	c.checkAddress("callers-listen", d.CallersListen)
	c.checkAddress("peer-listen", d.PeerListen)
	c.checkAddress("subcalls-listen", d.SubcallsListen)
	c.checkAddress("operators-listen", d.OperatorsListen)
	c.checkDistinct(
		[]string{"callers-listen", "peer-listen", "subcalls-listen", "operators-listen"},
		[]netip.AddrPort{d.CallersListen, d.PeerListen, d.SubcallsListen, d.OperatorsListen},
	)
	c.checkAdvertised(d.PeerListen, d.PeerAdvertise)
	c.checkControlAddresses(d.Control)
	c.checkDuration("freshness", d.Freshness, minFreshness, maxFreshness)
	if d.FarCost < 1 || d.FarCost > maxFarCost {
		c.report("far-cost", fmt.Sprint(d.FarCost), "a number from 1 to 100")
	}
	c.checkDuration("connection-wait", d.ConnectionWait, 0, maxConnectionWait)
	c.checkDuration("coasting", d.Coasting, 0, maxFreshness)
	c.checkTimeouts(d.Timeouts)
	c.checkResources(d.Resources)
	c.checkLog(d.Log)
	c.checkTLS(d.TLS)
}

func (c *checker) checkControlAddresses(addresses []netip.AddrPort) {
	if len(addresses) == 0 {
		c.report("control", "nothing", "the peer addresses of all control instances")
	}
	seen := map[netip.AddrPort]bool{}
	for i, address := range addresses {
		name := fmt.Sprintf("control[%d]", i)
		c.checkAddress(name, address)
		if seen[address] {
			c.report(name, addressOrNothing(address), "each control instance once")
		}
		seen[address] = true
	}
}

func (c *checker) checkControl(s Control) {
	if !c.fileRead() {
		return
	}
	c.checkName("name", s.Name)
	c.checkName("cluster", s.Cluster)
	c.checkName("failure-domain", s.FailureDomain)
	c.checkAddress("peer-listen", s.PeerListen)
	c.checkAddress("operators-listen", s.OperatorsListen)
	c.checkDistinct(
		[]string{"peer-listen", "operators-listen"},
		[]netip.AddrPort{s.PeerListen, s.OperatorsListen},
	)
	c.checkAdvertised(s.PeerListen, s.PeerAdvertise)
	c.checkDataFolder(s.DataFolder)
	c.checkMembers(s)
	if s.Voters < 0 || s.Voters > maxMembers || s.Voters > 0 && s.Voters%2 == 0 {
		c.report("voters", fmt.Sprint(s.Voters), "0, 1, 3, 5 or 7")
	}
	c.checkDuration("heartbeat", s.Heartbeat, minHeartbeat, time.Minute)
	c.checkDuration("election-timeout", s.ElectionTimeout, minHeartbeatsPerElection*s.Heartbeat, maxTimeout)
	c.checkTimeouts(s.Timeouts)
	c.checkResources(s.Resources)
	c.checkLog(s.Log)
	c.checkTLS(s.TLS)
}

func (c *checker) checkMembers(s Control) {
	if len(s.Members) > maxMembers {
		c.report("members", fmt.Sprint(len(s.Members)), "at most 7 members")
	}
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, m := range s.Members {
		element := fmt.Sprintf("members[%d]", i)
		c.checkName(element+".name", m.Name)
		c.checkAddress(element+".address", m.Address)
		if names[m.Name] {
			c.report(element+".name", quoteOrNothing(m.Name), "a name of its own")
		}
		if m.Address.IsValid() && addresses[m.Address] {
			c.report(element+".address", addressOrNothing(m.Address), "an address of its own")
		}
		names[m.Name] = true
		addresses[m.Address] = true
	}
	c.checkOwnMember(s, names)
}

// checkOwnMember checks that members is not empty and, unless the instance joins a cluster, that it includes the
// instance.
func (c *checker) checkOwnMember(s Control, names map[string]bool) {
	if len(s.Members) == 0 {
		c.report("members", "nothing", "the control instances of the cluster, or those to join")
		return
	}
	if !s.Join && !names[s.Name] {
		c.report("members", "no member named "+quoteOrNothing(s.Name), "this instance among the members, or join = true")
	}
}
