package store

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"time"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

// A Recovery is the data folder of a stopped instance that is to go on without the majority of its cluster.
// It keeps the folder locked until Close.
type Recovery struct {
	replica.RecoveredState
	// Member is the instance as it was in its cluster.
	Member   replica.Member
	settings Settings
	fsys     journal.FS
	folder   *journal.Folder
}

// OpenRecovery reads a data folder and changes nothing. It fails with journal.ErrLocked where a process uses the
// folder, with ErrOtherInstance, or as replica.Recovery.Member does.
func OpenRecovery(settings Settings) (*Recovery, error) {
	settings, err := settings.withDefaults()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(settings.DataFolder); err != nil {
		return nil, fmt.Errorf("opening the data folder: %w", err)
	}
	folder, err := journal.NewFolder(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	r := &Recovery{settings: settings, fsys: folder, folder: folder}
	if err := r.read(); err != nil {
		_ = folder.Close()
		return nil, fmt.Errorf("reading the data folder of %s: %w", settings.Name, err)
	}
	return r, nil
}

func (r *Recovery) read() error {
	recovered, err := journal.Read(r.fsys)
	if err != nil {
		return err
	}
	if r.RecoveredState, err = replica.Recover(recovered.Snapshot, recovered.Records); err != nil {
		return err
	}
	if r.ID != 0 && r.Name != r.settings.Name {
		return fmt.Errorf("the folder is that of %q: %w", r.Name, ErrOtherInstance)
	}
	r.Member, err = r.RecoveredState.Member()
	return err
}

// Load brings a machine to the state after all entries of the folder.
func (r *Recovery) Load(machine Machine) error {
	if snapshot := r.Persisted.Snapshot; snapshot.Index > 0 {
		if err := machine.Restore(snapshot.Body); err != nil {
			return fmt.Errorf("restoring snapshot %d: %w", snapshot.Index, err)
		}
	}
	for _, entry := range r.Persisted.Entries {
		if entry.Kind == replica.CommandEntry {
			machine.Apply(entry.At, entry.Index, entry.Command)
		}
	}
	return nil
}

// Force makes the instance the only voter of a new generation, whose first command is applied after all entries of
// the folder. Its records are one synced frame: a crash leaves the folder either as it was or recovered.
func (r *Recovery) Force(now time.Time, command []byte) error {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("drawing the id of the generation: %w", err)
	}
	records, err := r.RecoveredState.Force(now, replica.GenerationSpec{
		ID:      replica.ID(binary.LittleEndian.Uint64(random[:8]) | 1),
		Cluster: binary.LittleEndian.Uint64(random[8:]) | 1,
		Address: r.settings.Address,
		Command: command,
	})
	if err != nil {
		return err
	}
	j, _, err := journal.Open(r.fsys)
	if err != nil {
		return fmt.Errorf("opening the journal: %w", err)
	}
	j.Append(records...)
	err = j.Sync()
	if closeErr := j.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Close releases the folder.
func (r *Recovery) Close() error {
	return r.folder.Close()
}
