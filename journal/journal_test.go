package journal_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sapphirespread.example/journal"
)

// model is the acknowledged content of a journal, and the records that it may contain instead if its last call failed.
// If a rotation failed, snapshot lists both possible snapshots, separated by "|".
type model struct {
	snapshot  string
	records   []string
	attempted []string
}

// action appends records of the given sizes in one sync, or rotates to a new snapshot and keeps the last records.
type action struct {
	sizes  []int
	rotate bool
	keep   int
}

var actions = rapid.Custom(func(t *rapid.T) action {
	return action{
		sizes:  rapid.SliceOfN(rapid.IntRange(0, 1500), 1, 4).Draw(t, "sizes"),
		rotate: rapid.IntRange(0, 3).Draw(t, "rotate") == 0,
		keep:   rapid.IntRange(0, 3).Draw(t, "keep"),
	}
})

func (m *model) perform(j *journal.Journal, a action, number int) error {
	if a.rotate {
		return m.rotate(j, a, number)
	}
	m.attempted = slices.Clone(m.records)
	for i, size := range a.sizes {
		record := fmt.Sprintf("%d.%d%s", number, i, bytes.Repeat([]byte{'x'}, size))
		j.Append([]byte(record))
		m.attempted = append(m.attempted, record)
	}
	if err := j.Sync(); err != nil {
		return err
	}
	m.records = m.attempted
	return nil
}

// rotate starts a new generation whose log contains the last records. The snapshot replaces all earlier records.
func (m *model) rotate(j *journal.Journal, a action, number int) error {
	kept := m.records[len(m.records)-min(a.keep, len(m.records)):]
	next := model{snapshot: fmt.Sprintf("s%d", number), records: slices.Clone(kept)}
	written, err := j.WriteSnapshot([]byte(next.snapshot))
	if err != nil {
		return nil
	}
	var records [][]byte
	for _, record := range kept {
		records = append(records, []byte(record))
	}
	before := *m
	if err := j.Rotate(written, records...); err == nil {
		*m = next
	} else if errors.Is(err, journal.ErrFailed) {
		*m = model{snapshot: before.snapshot + "|" + next.snapshot, records: before.records, attempted: next.records}
		return err
	}
	return nil
}

// check compares the recovered content with the model. Either the acknowledged or the attempted state is valid.
func (m *model) check(t *rapid.T, recovered journal.Recovered) {
	var records []string
	for _, record := range recovered.Records {
		records = append(records, string(record))
	}
	snapshots := bytes.Split([]byte(m.snapshot), []byte("|"))
	isSnapshot := slices.ContainsFunc(snapshots, func(s []byte) bool { return bytes.Equal(s, recovered.Snapshot) })
	isRecords := slices.Equal(records, m.records) || slices.Equal(records, m.attempted)
	if !isSnapshot || !isRecords {
		t.Fatalf("recovered %q with %d records, acknowledged %q with %d", recovered.Snapshot, len(records), m.snapshot, len(m.records))
	}
	*m = model{snapshot: string(recovered.Snapshot), records: records}
}

// runUntilFault performs the actions with a fault at operation failAt, restarts and checks the recovered content. It
// reports whether that operation was reached.
func runUntilFault(t *rapid.T, script []action, kind fault, failAt int) bool {
	fsys := newFaultFS(uint64(failAt))
	fsys.kind = kind
	fsys.failAt = failAt
	var m model
	j, _, err := journal.Open(fsys)
	for number := 0; number < len(script) && err == nil; number++ {
		err = m.perform(j, script[number], number)
	}
	if err != nil && j != nil {
		j.Append([]byte("after the failure"))
		if again := j.Sync(); !errors.Is(again, journal.ErrFailed) {
			t.Fatalf("got %v from a failed journal, want ErrFailed", again)
		}
	}
	faultReached := fsys.ops > failAt
	for round := range 3 {
		killed := round == 0 && failAt%2 == 1
		if killed {
			fsys.clearFault()
		} else {
			fsys.restart()
		}
		j, recovered, err := journal.Open(fsys)
		if err != nil {
			t.Fatalf("opening after %s at operation %d: %v", kind, failAt, err)
		}
		m.check(t, recovered)
		if killed {
			continue
		}
		if err := m.perform(j, action{sizes: []int{3}}, len(script)); err != nil {
			t.Fatal(err)
		}
	}
	return faultReached
}

// TestFaultAtEveryPointLosesNothingAcknowledged repeats drawn actions with a fault at each operation in turn.
func TestFaultAtEveryPointLosesNothingAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(actions, 1, 8).Draw(t, "script")
		kind := rapid.SampledFrom([]fault{crash, fullDisk, failSync}).Draw(t, "fault")
		failAt := 0
		for runUntilFault(t, script, kind, failAt) {
			failAt++
		}
	})
}

// TestRepairedJournalLosesNothing fails the disk at each operation in turn, repairs the journal where that is possible,
// and performs the remaining actions. After a restart it must hold all records, those of the failed sync included.
func TestRepairedJournalLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(actions, 1, 8).Draw(t, "script")
		kind := rapid.SampledFrom([]fault{fullDisk, failSync}).Draw(t, "fault")
		failAt := 0
		for repairAfterFault(t, script, kind, failAt) {
			failAt++
		}
	})
}

// repairAfterFault performs the actions with a fault at operation failAt and repairs the journal after it. It reports
// whether that operation was reached.
func repairAfterFault(t *rapid.T, script []action, kind fault, failAt int) bool {
	fsys := newFaultFS(uint64(failAt))
	fsys.kind = kind
	fsys.failAt = failAt
	var m model
	j, _, err := journal.Open(fsys)
	if err != nil {
		return fsys.ops > failAt
	}
	for number, a := range script {
		if m.perform(j, a, number) == nil {
			continue
		}
		if !j.Repairable() {
			if err := j.Repair(); !errors.Is(err, journal.ErrFailed) {
				t.Fatalf("repairing a journal that failed in a rotation: %v, want ErrFailed", err)
			}
			return fsys.ops > failAt
		}
		fsys.clearFault()
		if err := errors.Join(j.Repair(), j.Sync()); err != nil {
			t.Fatalf("repairing after %s at operation %d: %v", kind, failAt, err)
		}
		m.records = m.attempted
	}
	faultReached := fsys.ops > failAt
	fsys.restart()
	_, recovered, err := journal.Open(fsys)
	if err != nil {
		t.Fatalf("opening after %s at operation %d: %v", kind, failAt, err)
	}
	m.attempted = m.records
	m.check(t, recovered)
	return faultReached
}

// newFilledFS returns a folder whose log contains three synced frames of two records each.
func newFilledFS(t testing.TB) *faultFS {
	fsys := newFaultFS(1)
	j, _, err := journal.Open(fsys)
	for i := 0; i < 3 && err == nil; i++ {
		j.Append(bytes.Repeat([]byte{'a' + byte(i)}, 700), []byte("last"))
		err = j.Sync()
	}
	if err != nil {
		t.Fatal(err)
	}
	return fsys
}

func TestEveryFlippedBitIsFound(t *testing.T) {
	for name, file := range newFilledFS(t).names {
		for at := range file.data {
			fsys := newFilledFS(t)
			fsys.names[name].data[at] ^= 1 << (at % 8)
			_, _, err := journal.Open(fsys)
			if !errors.Is(err, journal.ErrCorrupt) && !errors.Is(err, journal.ErrNewerFormat) {
				t.Fatalf("flipped a bit in byte %d of %s: got %v, want ErrCorrupt or ErrNewerFormat", at, name, err)
			}
		}
	}
}

func TestLostEarlierSectorIsFound(t *testing.T) {
	fsys := newFilledFS(t)
	clear(fsys.names["log-0000000000000000"].data[sector : 2*sector])
	if _, _, err := journal.Open(fsys); !errors.Is(err, journal.ErrCorrupt) {
		t.Fatal(err)
	}
}

func TestNewerFormatIsRefused(t *testing.T) {
	fsys := newFilledFS(t)
	header := []byte("sapphire\x02\x00\x00\x00")
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, crc32.MakeTable(crc32.Castagnoli)))
	for name := range fsys.names {
		copy(fsys.names[name].data, header)
	}
	if _, _, err := journal.Open(fsys); !errors.Is(err, journal.ErrNewerFormat) {
		t.Fatal(err)
	}
}

func TestMissingFilesAreCorrupt(t *testing.T) {
	for name := range newFilledFS(t).names {
		fsys := newFilledFS(t)
		delete(fsys.names, name)
		if _, _, err := journal.Open(fsys); !errors.Is(err, journal.ErrCorrupt) {
			t.Errorf("without %s: got %v, want ErrCorrupt", name, err)
		}
	}
}

func TestFolderIsLockedAndKeepsRecords(t *testing.T) {
	path := t.TempDir()
	for round := range 3 {
		folder, err := journal.NewFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := journal.NewFolder(path); !errors.Is(err, journal.ErrLocked) {
			t.Fatalf("locking the folder again: got %v, want ErrLocked", err)
		}
		j, recovered, err := journal.Open(folder)
		if err != nil || len(recovered.Records) != round {
			t.Fatalf("round %d: got %d records, %v", round, len(recovered.Records), err)
		}
		j.Append([]byte("record"))
		written, err := j.WriteSnapshot([]byte("state"))
		if err := errors.Join(err, j.Sync()); err != nil {
			t.Fatal(err)
		}
		if err := j.Rotate(written, slices.Repeat([][]byte{[]byte("r")}, round+1)...); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(j.Close(), folder.Close()); err != nil {
			t.Fatal(err)
		}
	}
}

func FuzzOpen(f *testing.F) {
	intact := newFilledFS(f)
	log, snapshot := intact.names["log-0000000000000000"].data, intact.names["snapshot-0000000000000000"].data
	f.Add(log, snapshot)
	f.Add(log[:len(log)-5], snapshot)
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		fsys := newFaultFS(1)
		fsys.names["log-0000000000000000"] = &fileContent{data: log, synced: len(log)}
		fsys.names["snapshot-0000000000000000"] = &fileContent{data: snapshot, synced: len(snapshot)}
		_, first, err := journal.Open(fsys)
		if err != nil {
			return
		}
		_, second, err := journal.Open(fsys)
		if err != nil || second.TruncatedBytes != 0 || len(first.Records) != len(second.Records) {
			t.Fatalf("opened again: got %d records, want %d; cut %d bytes, want 0; error %v", len(second.Records), len(first.Records), second.TruncatedBytes, err)
		}
	})
}
