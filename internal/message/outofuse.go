package message

import (
	"time"

	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/peer/peerpb"
)

// EncodeOutOfUse encodes the failure domains out of use.
func EncodeOutOfUse(s evacuation.State) *peerpb.OutOfUse {
	return &peerpb.OutOfUse{Cluster: s.Cluster, Version: s.Version, FailureDomains: s.Domains, AgeUs: s.Age.Microseconds()}
}

// DecodeOutOfUse decodes the failure domains out of use.
func DecodeOutOfUse(encoded *peerpb.OutOfUse) evacuation.State {
	return evacuation.State{
		Cluster: encoded.GetCluster(), Version: encoded.GetVersion(), Domains: encoded.GetFailureDomains(),
		Age: time.Duration(encoded.GetAgeUs()) * time.Microsecond,
	}
}
