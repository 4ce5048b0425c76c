// Package journal keeps a replica's records and its snapshot in the files of one data folder.
//
// A generation is one snapshot file and one log file. Records appended together are one frame with one
// checksum, written and synced as a whole, so that at most the last frame can be torn by a crash. A
// snapshot starts the next generation: its log is synced first, then the snapshot is renamed into place.
// Whatever Sync or Rotate has acknowledged is returned by the next Open, or Open fails with ErrCorrupt.
package journal
