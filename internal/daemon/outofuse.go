package daemon

import (
	"fmt"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/refusal"
)

const sourceLeader = "leader"

// domainsReport is the state of the failure domains in the metrics.
type domainsReport struct {
	Version  uint64   `json:"version"`
	OutOfUse []string `json:"out-of-use"`
	// Refuses reports whether calls to the backend server are refused since its failure domain is out of use.
	Refuses bool `json:"refuses"`
}

func (d *Daemon) domainsReport() domainsReport {
	state := d.domains.State()
	return domainsReport{
		Version: state.Version, OutOfUse: append([]string{}, state.Domains...), Refuses: d.domainGuard.Refuses(boottime.Now()),
	}
}

// applyLeaderDomains takes the failure domains out of use that the leader sent.
func (d *Daemon) applyLeaderDomains(encoded *peerpb.OutOfUse) {
	if state := message.DecodeOutOfUse(encoded); d.domains.ApplyLeader(state) {
		d.logDomains(state, sourceLeader)
	}
}

// applyPeerDomains takes the failure domains out of use that another daemon reported with an answer, so that this daemon
// learns of orders without control. It ignores nil.
func (d *Daemon) applyPeerDomains(encoded *peerpb.OutOfUse, source string) {
	if encoded == nil {
		return
	}
	if state := message.DecodeOutOfUse(encoded); d.domains.ApplyPeer(state) {
		d.logDomains(state, source)
	}
}

func (d *Daemon) logDomains(state evacuation.State, source string) {
	if state.Version == 0 {
		return // no order was ever given
	}
	d.record("membership", fmt.Sprintf("failure domains out of use: %v", state.Domains))
	d.logger.Info().Strs("out-of-use", state.Domains).Uint64("version", state.Version).Str("source", source).
		Int64("age-ms", state.Age.Milliseconds()).Msg("daemon: failure domains in force")
}

// newerDomains returns the failure domains out of use if their version is above known, and nil otherwise.
func (d *Daemon) newerDomains(known uint64) *peerpb.OutOfUse {
	if d.domains.Version() <= known {
		return nil
	}
	state := d.domains.State()
	state.Age = 0 // it dates from the receipt of the state
	return message.EncodeOutOfUse(state)
}

// takeDomains applies failure domains out of use that the view has taken.
func (d *Daemon) takeDomains(state evacuation.State) {
	d.chooser.SetOutOfUse(state.Domains)
	d.domainGuard.Update(boottime.Now(), state)
}

// checkDomain refuses a call to the backend server of this daemon if its own failure domain is out of use for longer than
// callers need to learn of it.
func (d *Daemon) checkDomain() *attemptError {
	if !d.domainGuard.Refuses(boottime.Now()) {
		return nil
	}
	d.counters.outOfUse.Add(1)
	return refuse(refusal.Draining, "the failure domain is out of use")
}
