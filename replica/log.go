package replica

import "sort"

// log holds the entries after a base entry, of which only the index and term are kept.
type log struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	bytes     int64 // sum of the sizes of the entries
}

func (l *log) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// termAt returns the term of the entry at index, or false if the log doesn't hold it.
func (l *log) termAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entryAt(index).Term, true
}

// entryAt returns the entry at index, which must be after the base and not after the last entry.
func (l *log) entryAt(index uint64) Entry {
	return l.entries[index-l.baseIndex-1]
}

// entriesFrom returns the entries from index to upTo, both included. It stops before the entry that exceeds maxBytes,
// but returns at least one entry if index is not after upTo.
func (l *log) entriesFrom(index, upTo uint64, maxBytes int) []Entry {
	if index > upTo {
		return nil
	}
	entries := l.entries[index-l.baseIndex-1 : upTo-l.baseIndex]
	size := 0
	for i, entry := range entries {
		size += entry.size()
		if i > 0 && size > maxBytes {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// truncate removes the entries after index.
func (l *log) truncate(index uint64) {
	count := index - l.baseIndex
	l.bytes -= sizeOf(l.entries[count:])
	l.entries = l.entries[:count:count]
}

// compact removes the entries up to index, which becomes the new base.
func (l *log) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.termAt(index)
	l.bytes -= sizeOf(l.entries[:index-l.baseIndex])
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	l.baseTerm = term
}

// retainedFrom returns the index before the oldest of the newest entries up to index that together are at most count and
// take at most maxBytes.
func (l *log) retainedFrom(index, count uint64, maxBytes int64) uint64 {
	retained := l.entries[:index-l.baseIndex]
	size := int64(0)
	for i := len(retained); i > 0; i-- {
		size += int64(retained[i-1].size())
		if size > maxBytes || index-(l.baseIndex+uint64(i)) >= count {
			return l.baseIndex + uint64(i)
		}
	}
	return l.baseIndex
}

// reset removes all entries and sets the base.
func (l *log) reset(index, term uint64) {
	l.baseIndex = index
	l.baseTerm = term
	l.entries = nil
	l.bytes = 0
}

// findConflictByTerm returns the highest index up to limit whose entry has at most the given term.
func (l *log) findConflictByTerm(limit, term uint64) uint64 {
	limit = min(limit, l.lastIndex())
	if limit <= l.baseIndex {
		return limit
	}
	entries := l.entries[:limit-l.baseIndex]
	count := sort.Search(len(entries), func(i int) bool { return entries[i].Term > term })
	return l.baseIndex + uint64(count)
}

// upToDate reports whether a log with the given last entry is at least as up to date as l, so that it may contain every
// committed entry of l.
func (l *log) upToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

func sizeOf(entries []Entry) int64 {
	size := int64(0)
	for _, entry := range entries {
		size += int64(entry.size())
	}
	return size
}
