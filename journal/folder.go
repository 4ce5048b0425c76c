package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// A Folder is an FS in a folder of the operating system. It holds a lock file that excludes other processes.
type Folder struct {
	path string
	lock *os.File
}

// NewFolder creates the data folder if it is missing and locks it. It fails with ErrLocked if the folder is in use.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("creating data folder %s: %w", path, err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("opening the lock file of data folder %s: %w", path, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("locking data folder %s: %v: %w", path, err, ErrLocked)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// Create creates or truncates a file and opens it for writing.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens an existing file for appending.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Read returns the whole content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(f.join(name))
}

// Truncate truncates a file to size bytes and syncs it.
func (f *Folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.join(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Rename renames oldName to newName and replaces an existing file of that name.
func (f *Folder) Rename(oldName, newName string) error {
	return os.Rename(f.join(oldName), f.join(newName))
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	return os.Remove(f.join(name))
}

// List returns the names of all regular files except the lock file.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() && entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// SyncFolder makes all preceding creations, renames and removals durable.
func (f *Folder) SyncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

func (f *Folder) join(name string) string {
	return filepath.Join(f.path, name)
}
