package message

import (
	"time"

	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/peer/peerpb"
)

// EncodeOutOfUse encodes the failure domains out of use and the time since their last change, 0 if unknown.
func EncodeOutOfUse(s evacuation.State, age time.Duration) *peerpb.OutOfUse {
	return &peerpb.OutOfUse{Cluster: s.Cluster, Version: s.Version, FailureDomains: s.Domains, AgeUs: age.Microseconds()}
}

// DecodeOutOfUse decodes the failure domains out of use.
func DecodeOutOfUse(encoded *peerpb.OutOfUse) evacuation.State {
	return evacuation.State{Cluster: encoded.GetCluster(), Version: encoded.GetVersion(), Domains: encoded.GetFailureDomains()}
}
