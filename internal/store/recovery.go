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

// A Recovery is the locked data folder of a stopped instance that can be forced to continue without the majority of its
// cluster.
type Recovery struct {
	replica.RecoveredState
	// Member is the entry of the instance in the last known members of the cluster.
	Member   replica.Member
	settings Settings
	fsys     journal.FS
	folder   *journal.Folder
}

// OpenRecovery locks and reads a data folder without changing it. It returns journal.ErrLocked if a process uses the
// folder, ErrOtherInstance if the folder belongs to another instance, or an error of replica.RecoveredState.Member.
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
	if err := r.load(); err != nil {
		_ = folder.Close()
		return nil, fmt.Errorf("reading the data folder of %s: %w", settings.Name, err)
	}
	return r, nil
}

func (r *Recovery) load() error {
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

// Load restores the snapshot of the folder into a machine and applies the commands of all later entries.
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

// Force makes the instance the only voter of a new generation. The given command is applied after all entries of the
// folder. The records are written as one synced frame, so a crash leaves the folder either unchanged or recovered.
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

// Close unlocks the folder.
func (r *Recovery) Close() error {
	return r.folder.Close()
}
