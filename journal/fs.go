package journal

import "io"

// A File is an append-only file.
type File interface {
	io.Writer
	io.Closer
	// Sync makes all written bytes durable.
	Sync() error
}

// An FS is a folder without subfolders that stores the journal's files.
type FS interface {
	// Create creates or truncates a file and opens it for writing.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Read returns the whole content of a file.
	Read(name string) ([]byte, error)
	// Truncate truncates a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename renames oldName to newName and replaces an existing file of that name.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncFolder makes all preceding creations, renames and removals durable.
	SyncFolder() error
}
