package store_test

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"sapphirespread.example/internal/store"
	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

var recoveryStart = time.Unix(1_700_000_000, 0)

// survivorFolder returns the settings of a stopped instance, one of three voters. Its data folder contains the commands
// "one" and "two".
func survivorFolder(t *testing.T) store.Settings {
	t.Helper()
	settings := store.Settings{Name: "a", DataFolder: filepath.Join(t.TempDir(), "data")}
	var members replica.Members
	for i, name := range []string{"a", "b", "c"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7001+i))
		settings.Members = append(settings.Members, store.Member{Name: name, Address: address})
		members = append(members, replica.Member{Name: name, ID: replica.ID(i + 1), Address: address, Role: replica.Voter})
	}
	folder, err := journal.NewFolder(settings.DataFolder)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	j, _, err := journal.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	j.Append(replica.EncodeIdentityRecord(1, "a"), replica.EncodeHardStateRecord(replica.HardState{Cluster: 9, Term: 3, Vote: 2}),
		replica.EncodeEntryRecord(replica.Entry{Index: 1, Term: 1, At: recoveryStart, Kind: replica.MembersEntry, Members: members}))
	for i, command := range []string{"one", "two"} {
		j.Append(replica.EncodeEntryRecord(replica.Entry{
			Index: uint64(i + 2), Term: 1, At: recoveryStart, Kind: replica.CommandEntry, Command: []byte(command),
		}))
	}
	if err := errors.Join(j.Sync(), j.Close()); err != nil {
		t.Fatal(err)
	}
	return settings
}

// TestForcedRecoveryLastsWhollyOrNotAtAll truncates the log after each byte that the forced recovery wrote. A crash
// during the write must leave the folder either unchanged or recovered.
func TestForcedRecoveryLastsWhollyOrNotAtAll(t *testing.T) {
	settings := survivorFolder(t)
	log := filepath.Join(settings.DataFolder, "log-0000000000000000")
	before, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	opened, err := store.OpenRecovery(settings)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.OpenRecovery(settings); !errors.Is(err, journal.ErrLocked) {
		t.Errorf("opening a folder in use: %v", err)
	}
	if err := errors.Join(opened.Force(recoveryStart, []byte("three")), opened.Close()); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(log)
	if err != nil || len(after) <= len(before) {
		t.Fatalf("the log has %d bytes, had %d: %v", len(after), len(before), err)
	}
	for size := len(before); size <= len(after); size++ {
		if err := os.WriteFile(log, after[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		opened, err := store.OpenRecovery(settings)
		if size == len(after) {
			if !errors.Is(err, replica.ErrOnlyVoter) {
				t.Errorf("the complete log: %v", err)
			}
			continue
		}
		machine := &recordingMachine{}
		if err != nil || opened.Load(machine) != nil || !slices.Equal(machine.commands, []string{"one", "two"}) {
			t.Fatalf("the log truncated to %d bytes: %v, %v", size, machine.commands, err)
		}
		_ = opened.Close()
	}
}

func TestForcedRecoveryRefusesOtherFolders(t *testing.T) {
	settings := survivorFolder(t)
	other := settings
	other.Name = "b"
	missing := settings
	missing.DataFolder = filepath.Join(t.TempDir(), "missing")
	empty := settings
	empty.DataFolder = t.TempDir()
	for _, test := range []struct {
		settings store.Settings
		want     error
	}{{other, store.ErrOtherInstance}, {missing, os.ErrNotExist}, {empty, replica.ErrNoCluster}} {
		if _, err := store.OpenRecovery(test.settings); !errors.Is(err, test.want) {
			t.Errorf("got %v, want %v", err, test.want)
		}
	}
}
