// Package journal stores a replica's write-ahead log and its snapshot in one data folder.
//
// A generation consists of one snapshot file and one log file. Records that are appended together form one frame with
// one checksum. A frame is written and synced as a unit, so a crash can tear only the last frame. A snapshot starts the
// next generation: its log is synced first, then the snapshot is renamed into place. The next Open returns everything
// that Sync or Rotate has acknowledged, or fails with ErrCorrupt.
package journal
