package control_test

import (
	"bytes"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/membership/evacuation"
)

// TestOrdersAreInTheSnapshot guards against an order that is lost when the log is compacted.
func TestOrdersAreInTheSnapshot(t *testing.T) {
	command, err := proto.Marshal(&controlpb.Command{Body: &controlpb.Command_Evacuation{
		Evacuation: &controlpb.EvacuationOrder{FailureDomain: "east", Out: true},
	}})
	if err != nil {
		t.Fatal(err)
	}
	state, restored := control.NewState(), control.NewState()
	state.Apply(time.Unix(1_700_000_000, 0), 1, command)
	encoded, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(again, encoded) {
		t.Errorf("the restored state has another snapshot: %v", err)
	}
	var snapshot controlpb.Snapshot
	register := evacuation.NewRegister()
	if err := proto.Unmarshal(again, &snapshot); err != nil {
		t.Fatal(err)
	}
	if err := register.UnmarshalBinary(snapshot.GetEvacuations()); err != nil || !register.State(0).Out("east") {
		t.Errorf("the order is not in the snapshot: %v", err)
	}
}
