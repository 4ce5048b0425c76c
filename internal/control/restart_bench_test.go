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
	restartObjects    = 1000
	restartWorkspaces = 8
	restartBatch      = 64
	restartBody       = 100
)

// restartState is a configuration of 1,000 limits and claims with their outcomes, as commands and as a snapshot.
type restartState struct {
	b        *testing.B
	at       time.Time
	registry *configuration.Registry
	book     *claim.Registry
	commands [][]byte
}

func newRestartState(b *testing.B, claims int) *restartState {
	s := &restartState{b: b, at: time.Now(), registry: configuration.NewRegistry(), book: claim.NewRegistry()}
	var set configuration.Set
	for i := range restartObjects {
		set.Limits = append(set.Limits, configuration.Limit{Name: fmt.Sprintf("limit-%d", i), Rate: 1, Burst: 10})
	}
	publish := configuration.PublishRequest{ID: "first", Set: set}
	encoded, err := publish.MarshalBinary()
	s.add(&controlpb.Command{Body: &controlpb.Command_Publish{Publish: encoded}}, err)
	s.registry.Publish(s.at, publish)
	for done := 0; done < claims; done += restartBatch {
		batch := &controlpb.ClaimBatch{}
		for i := done; i < min(done+restartBatch, claims); i++ {
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

func (s *restartState) claim(number int) []*controlpb.ClaimStep {
	id, err := uuid.NewV7()
	if err != nil {
		s.b.Fatal(err)
	}
	key := claim.Key{Workspace: fmt.Sprintf("workspace-%d", number%restartWorkspaces), Route: "bookings", IdempotencyKey: id.String()}
	attempt := fmt.Sprintf("daemon-1/%d", number)
	outcome := claim.Outcome{Status: 201, Body: make([]byte, restartBody), BodyKept: true}
	if state, _ := s.book.Claim(s.at, key, attempt, [32]byte{1}); state != claim.Won || !s.book.Finish(s.at, key, attempt, outcome) {
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
	configured, err := s.registry.MarshalBinary()
	claims, claimsErr := s.book.MarshalBinary()
	quarantined, quarantineErr := quarantine.NewRegister().MarshalBinary()
	encoded, marshalErr := proto.Marshal(&controlpb.Snapshot{Configuration: configured, Claims: claims, Quarantine: quarantined})
	if err := errors.Join(err, claimsErr, quarantineErr, marshalErr); err != nil {
		s.b.Fatal(err)
	}
	return encoded
}

// write fills the data folder of the only member, and returns the bytes that it holds.
func (s *restartState) write(one *process, fromSnapshot bool) int64 {
	folder, err := journal.NewFolder(one.data())
	if err != nil {
		s.b.Fatal(err)
	}
	defer folder.Close()
	j, _, err := journal.Open(folder)
	if err != nil {
		s.b.Fatal(err)
	}
	self := replica.Members{{Name: one.name, ID: 1, Address: one.operators, Role: replica.Voter}}
	records := [][]byte{replica.EncodeIdentityRecord(1, one.name), replica.EncodeHardStateRecord(replica.HardState{Cluster: 9, Term: 1, Vote: 1})}
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

// BenchmarkRestart measures from the start of a process until it serves the state of its data folder as the leader,
// by the way in which the folder holds it. An election timeout of 100 ms is part of it.
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
	p := &processes{t: b, binary: binary, ports: ports}
	one := &process{name: "control-1", folder: b.TempDir(), operators: ports.free(b)}
	peers := ports.free(b)
	one.settings = filepath.Join(one.folder, "control.toml")
	text := fmt.Sprintf("name = %q\ncluster = \"test\"\nfailure-domain = \"east\"\npeer-listen = %q\noperators-listen = %q\n"+
		"data-folder = %q\nelection-timeout = \"100ms\"\nheartbeat = \"20ms\"\n\n[[members]]\nname = %q\naddress = %q\n",
		one.name, peers, one.operators, one.data(), one.name, peers)
	if err := os.WriteFile(one.settings, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	bytes := newRestartState(b, claims).write(one, fromSnapshot)
	client := only(one)
	b.ResetTimer()
	for range b.N {
		p.start(one)
		p.eventually("the process to lead with its state", func(ctx context.Context) bool {
			current, err := client.Current(ctx)
			return err == nil && len(current.Set.Limits) == restartObjects
		})
		b.StopTimer()
		p.kill(one)
		b.StartTimer()
	}
	b.ReportMetric(float64(bytes)/(1<<20), "MiB")
}
