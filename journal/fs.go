package journal

import "io"

// A File is written at its end and synced.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once all written bytes last.
	Sync() error
}

// An FS is the flat folder that holds the journal's files.
type FS interface {
	// Create opens an empty file for writing, dropping what it held.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// Truncate cuts a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncFolder returns once all created, renamed and removed names last.
	SyncFolder() error
}
