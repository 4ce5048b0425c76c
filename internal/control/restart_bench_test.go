package control_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"sapphirespread.example/claim"
	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/journal"
	"sapphirespread.example/quarantine"
	"sapphirespread.example/replica"
)

const (
	restartLimits     = 1000
	restartWorkspaces = 8
	claimsPerBatch    = 64
	outcomeBodyBytes  = 100
)

// restartState holds a configuration of 1,000 limits and finished claims, both as log commands and as registries for a
// snapshot.
type restartState struct {
	b                     *testing.B
	at                    time.Time
	configurationRegistry *configuration.Registry
	claimRegistry         *claim.Registry
	commands              [][]byte
}

func newRestartState(b *testing.B, claims int) *restartState {
	s := &restartState{b: b, at: time.Now(), configurationRegistry: configuration.NewRegistry(), claimRegistry: claim.NewRegistry()}
	var set configuration.Set
	for i := range restartLimits {
		set.Limits = append(set.Limits, configuration.Limit{Name: fmt.Sprintf("limit-%d", i), Rate: 1, Burst: 10})
	}
	publish := configuration.PublishRequest{ID: "first", Set: set}
	encoded, err := publish.MarshalBinary()
	s.add(&controlpb.Command{Body: &controlpb.Command_Publish{Publish: encoded}}, err)
	s.configurationRegistry.Publish(s.at, publish)
	for done := 0; done < claims; done += claimsPerBatch {
		batch := &controlpb.ClaimBatch{}
		for i := done; i < min(done+claimsPerBatch, claims); i++ {
			batch.Steps = append(batch.Steps, s.claim(i)...)
		}
		s.add(&controlpb.Command{Body: &controlpb.Command_Claims{Claims: batch}}, nil)
	}
	return s
}

func (s *restartState) add(command *controlpb.Command, err error) {
	encoded, marshalErr := proto.Marshal(command)
	if err = errors.Join(err, marshalErr); err != nil {
		s.b.Fatal(err)
	}
	s.commands = append(s.commands, encoded)
}

// claim finishes a claim in the registry and returns the steps that do the same through the log.
func (s *restartState) claim(number int) []*controlpb.ClaimStep {
	id, err := uuid.NewV7()
	if err != nil {
		s.b.Fatal(err)
	}
	key := claim.Key{Workspace: fmt.Sprintf("workspace-%d", number%restartWorkspaces), Route: "bookings", IdempotencyKey: id.String()}
	attempt := fmt.Sprintf("daemon-1/%d", number)
	outcome := claim.Outcome{Status: 201, Body: make([]byte, outcomeBodyBytes), BodyKept: true}
	if state, _ := s.claimRegistry.Claim(s.at, key, attempt, [32]byte{1}); state != claim.Won || !s.claimRegistry.Finish(s.at, key, attempt, outcome) {
		s.b.Fatalf("claim %d: %s", number, state)
	}
	hash := [32]byte{1}
	request := &peerpb.ClaimRequest{Key: message.EncodeClaimKey(key), Attempt: attempt, RequestHash: hash[:]}
	finish := &peerpb.ClaimFinish{Key: message.EncodeClaimKey(key), Attempt: attempt, Outcome: message.EncodeOutcome(outcome)}
	return []*controlpb.ClaimStep{
		{Body: &controlpb.ClaimStep_Request{Request: request}},
		{Body: &controlpb.ClaimStep_Finish{Finish: finish}},
	}
}

func (s *restartState) snapshot() []byte {
	configured, err := s.configurationRegistry.MarshalBinary()
	claims, claimsErr := s.claimRegistry.MarshalBinary()
	quarantined, quarantineErr := quarantine.NewRegister().MarshalBinary()
	encoded, marshalErr := proto.Marshal(&controlpb.Snapshot{Configuration: configured, Claims: claims, Quarantine: quarantined})
	if err := errors.Join(err, claimsErr, quarantineErr, marshalErr); err != nil {
		s.b.Fatal(err)
	}
	return encoded
}

// write writes the state to the data folder of a single-member cluster, as a snapshot or a log, and returns the size of
// either in bytes.
func (s *restartState) write(instance *process, fromSnapshot bool) int64 {
	folder, err := journal.NewFolder(instance.dataFolder())
	if err != nil {
		s.b.Fatal(err)
	}
	defer folder.Close()
	j, _, err := journal.Open(folder)
	if err != nil {
		s.b.Fatal(err)
	}
	self := replica.Members{{Name: instance.name, ID: 1, Address: instance.operators, Role: replica.Voter}}
	records := [][]byte{replica.EncodeIdentityRecord(1, instance.name), replica.EncodeHardStateRecord(replica.HardState{Cluster: 9, Term: 1, Vote: 1})}
	if fromSnapshot {
		snapshot := replica.Snapshot{Index: 1, Term: 1, At: s.at, Members: self, Body: s.snapshot()}
		encoded, err := proto.Marshal(replica.EncodeSnapshot(snapshot))
		if err != nil {
			s.b.Fatal(err)
		}
		written, err := j.WriteSnapshot(encoded)
		if err := errors.Join(err, j.Rotate(written, records...), j.Close()); err != nil {
			s.b.Fatal(err)
		}
		return int64(len(encoded))
	}
	j.Append(records...)
	j.Append(replica.EncodeEntryRecord(replica.Entry{Index: 1, Term: 1, At: s.at, Kind: replica.MembersEntry, Members: self}))
	for i, command := range s.commands {
		j.Append(replica.EncodeEntryRecord(replica.Entry{Index: uint64(i + 2), Term: 1, At: s.at, Kind: replica.CommandEntry, Command: command}))
	}
	if err := j.Sync(); err != nil {
		s.b.Fatal(err)
	}
	defer j.Close()
	return j.Size()
}

// BenchmarkRestart measures the time from the start of a process until it leads and serves the state of its data
// folder, which holds a snapshot or a log. The time includes an election timeout of 100 ms.
func BenchmarkRestart(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "sapphirespread")
	if out, err := exec.Command("go", "build", "-o", binary, "sapphirespread.example").CombinedOutput(); err != nil {
		b.Fatalf("building: %v\n%s", err, out)
	}
	for _, claims := range []int{0, 10_000, 100_000, 400_000} {
		for _, from := range []string{"snapshot", "log"} {
			b.Run(fmt.Sprintf("claims=%d/from=%s", claims, from), func(b *testing.B) {
				benchmarkRestart(b, binary, claims, from == "snapshot")
			})
		}
	}
}

func benchmarkRestart(b *testing.B, binary string, claims int, fromSnapshot bool) {
	ports := newPorts()
	c := &cluster{t: b, binary: binary, ports: ports}
	instance := &process{name: "control-1", folder: b.TempDir(), operators: ports.free(b)}
	peers := ports.free(b)
	instance.settings = filepath.Join(instance.folder, "control.toml")
	text := fmt.Sprintf("name = %q\ncluster = \"test\"\nfailure-domain = \"east\"\npeer-listen = %q\noperators-listen = %q\n"+
		"data-folder = %q\nelection-timeout = \"100ms\"\nheartbeat = \"20ms\"\n\n[[members]]\nname = %q\naddress = %q\n",
		instance.name, peers, instance.operators, instance.dataFolder(), instance.name, peers)
	if err := os.WriteFile(instance.settings, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	folderBytes := newRestartState(b, claims).write(instance, fromSnapshot)
	client := clientOf(instance)
	b.ResetTimer()
	for range b.N {
		c.start(instance)
		c.eventually("the process to lead with its state", func(ctx context.Context) bool {
			current, err := client.Current(ctx)
			return err == nil && len(current.Set.Limits) == restartLimits
		})
		b.StopTimer()
		c.kill(instance)
		b.StartTimer()
	}
	b.ReportMetric(float64(folderBytes)/(1<<20), "MiB")
}
