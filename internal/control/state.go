package control

import (
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/claim"
	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/membership/departure"
	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/quarantine"
)

// A state is the state machine of the replicated log: the published configuration, the claims, the quarantine, the
// backend servers that have left and the failure domains out of use.
type state struct {
	configuration *configuration.Registry
	claims        *claim.Registry
	quarantine    *quarantine.Register
	departures    *departure.Register
	evacuations   *evacuation.Register
}

func newState() *state {
	return &state{
		configuration: configuration.NewRegistry(),
		claims:        claim.NewRegistry(),
		quarantine:    quarantine.NewRegister(),
		departures:    departure.NewRegister(),
		evacuations:   evacuation.NewRegister(),
	}
}

// Apply applies a log command at the leader's log time and returns the encoded result, or nil if it cannot be decoded.
func (s *state) Apply(at time.Time, _ uint64, command []byte) []byte {
	var decoded controlpb.Command
	if err := proto.Unmarshal(command, &decoded); err != nil {
		return nil
	}
	result := &controlpb.Result{}
	switch body := decoded.GetBody().(type) {
	case *controlpb.Command_Publish:
		result.Body = &controlpb.Result_Publish{Publish: s.applyPublish(at, body.Publish)}
	case *controlpb.Command_Claims:
		result.Body = &controlpb.Result_Claims{Claims: s.applyClaims(at, body.Claims)}
	case *controlpb.Command_Recovery:
		s.applyRecovery(at, body.Recovery)
		result.Body = &controlpb.Result_Done{Done: true}
	case *controlpb.Command_Departure:
		result.Body = &controlpb.Result_Done{Done: s.departures.Record(at, message.DecodeDeparture(body.Departure))}
	case *controlpb.Command_Evacuation:
		order := evacuation.Order{Domain: body.Evacuation.GetFailureDomain(), Out: body.Evacuation.GetOut()}
		result.Body = &controlpb.Result_Done{Done: s.evacuations.Apply(at, order)}
	default:
		done := s.applyQuarantine(at, &decoded)
		result.Body = &controlpb.Result_Done{Done: done}
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

func (s *state) applyPublish(at time.Time, encoded []byte) []byte {
	var request configuration.PublishRequest
	if err := request.UnmarshalBinary(encoded); err != nil {
		return nil
	}
	answer, err := json.Marshal(s.configuration.Publish(at, request))
	if err != nil {
		return nil
	}
	return answer
}

// applyRecovery starts a new generation of the configuration and the claims, so that anything that the lost members may
// have acknowledged cannot take effect again.
func (s *state) applyRecovery(at time.Time, recovery *controlpb.ForcedRecovery) {
	s.configuration.Recover(at, recovery.GetAuthor(), recovery.GetComment())
	s.claims.Recover(at, recovery.GetRunUntimed())
}

func (s *state) applyClaims(at time.Time, batch *controlpb.ClaimBatch) *controlpb.ClaimResults {
	s.claims.Expire(at)
	results := &controlpb.ClaimResults{}
	for _, step := range batch.GetSteps() {
		results.Answers = append(results.Answers, s.applyClaimStep(at, step))
	}
	return results
}

func (s *state) applyClaimStep(at time.Time, step *controlpb.ClaimStep) *peerpb.ClaimAnswer {
	switch body := step.GetBody().(type) {
	case *controlpb.ClaimStep_Request:
		return s.applyClaimRequest(at, body.Request)
	case *controlpb.ClaimStep_Release:
		s.claims.Release(at, message.DecodeClaimKey(body.Release.GetKey()), body.Release.GetAttempt())
	case *controlpb.ClaimStep_Finish:
		s.claims.Finish(at, message.DecodeClaimKey(body.Finish.GetKey()), body.Finish.GetAttempt(), message.DecodeOutcome(body.Finish.GetOutcome()))
	}
	return &peerpb.ClaimAnswer{}
}

func (s *state) applyClaimRequest(at time.Time, request *peerpb.ClaimRequest) *peerpb.ClaimAnswer {
	var hash [32]byte
	copy(hash[:], request.GetRequestHash())
	claimed, outcome := s.claims.Claim(at, message.DecodeClaimKey(request.GetKey()), request.GetAttempt(), hash)
	answer := &peerpb.ClaimAnswer{Id: request.GetId(), State: string(claimed)}
	if outcome != nil {
		answer.Outcome = message.EncodeOutcome(*outcome)
	}
	return answer
}

// applyQuarantine expires quarantine entries, applies a quarantine command, and reports whether it took effect.
func (s *state) applyQuarantine(at time.Time, command *controlpb.Command) bool {
	s.quarantine.Expire(at)
	switch body := command.GetBody().(type) {
	case *controlpb.Command_Suspects:
		suspects := make([]quarantine.Fingerprint, 0, len(body.Suspects.GetFingerprints()))
		for _, encoded := range body.Suspects.GetFingerprints() {
			suspects = append(suspects, message.DecodeFingerprint(encoded))
		}
		s.quarantine.RecordCrash(at, body.Suspects.GetCrash(), body.Suspects.GetTarget(), suspects)
		return true
	case *controlpb.Command_Ran:
		return s.quarantine.RecordCompletion(at, message.DecodeFingerprint(body.Ran.GetFingerprint()), body.Ran.GetTarget())
	case *controlpb.Command_Trial:
		return s.quarantine.RequestTrial(at, message.DecodeFingerprint(body.Trial.GetFingerprint()), body.Trial.GetTarget())
	case *controlpb.Command_TrialEnd:
		return s.quarantine.EndTrial(at, message.DecodeFingerprint(body.TrialEnd.GetFingerprint()), body.TrialEnd.GetTarget())
	case *controlpb.Command_Release:
		return s.quarantine.Release(at, message.DecodeFingerprint(body.Release.GetFingerprint()))
	}
	return false
}

// Snapshot encodes the whole state.
func (s *state) Snapshot() ([]byte, error) {
	configured, err := s.configuration.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("encoding the configuration: %w", err)
	}
	claims, err := s.claims.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("encoding the claims: %w", err)
	}
	quarantined, err := s.quarantine.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("encoding the quarantine: %w", err)
	}
	departures, err := s.departures.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("encoding the departures: %w", err)
	}
	evacuations, err := s.evacuations.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("encoding the failure domains out of use: %w", err)
	}
	return proto.Marshal(&controlpb.Snapshot{
		Configuration: configured, Claims: claims, Quarantine: quarantined, Departures: departures, Evacuations: evacuations,
	})
}

// Restore replaces the state with the one in a snapshot. On error the state is unchanged.
func (s *state) Restore(encoded []byte) error {
	var snapshot controlpb.Snapshot
	if err := proto.Unmarshal(encoded, &snapshot); err != nil {
		return fmt.Errorf("decoding a snapshot: %w", err)
	}
	restored := newState()
	if err := restored.configuration.UnmarshalBinary(snapshot.GetConfiguration()); err != nil {
		return fmt.Errorf("restoring the configuration: %w", err)
	}
	if err := restored.claims.UnmarshalBinary(snapshot.GetClaims()); err != nil {
		return fmt.Errorf("restoring the claims: %w", err)
	}
	if err := restored.quarantine.UnmarshalBinary(snapshot.GetQuarantine()); err != nil {
		return fmt.Errorf("restoring the quarantine: %w", err)
	}
	if err := restored.departures.UnmarshalBinary(snapshot.GetDepartures()); err != nil {
		return fmt.Errorf("restoring the departures: %w", err)
	}
	if err := restored.evacuations.UnmarshalBinary(snapshot.GetEvacuations()); err != nil {
		return fmt.Errorf("restoring the failure domains out of use: %w", err)
	}
	*s = *restored
	return nil
}
