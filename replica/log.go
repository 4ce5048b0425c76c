package replica

import "sort"

// log holds the entries after a base; the base's index and term stay known.
type log struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *log) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term at index, or false where the index is not held.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *log) at(index uint64) Entry {
	return l.entries[index-l.baseIndex-1]
}

// from returns the entries from index to upTo, at most about maxBytes but at least one.
func (l *log) from(index, upTo uint64, maxBytes int) []Entry {
	if index > upTo {
		return nil
	}
	all := l.entries[index-l.baseIndex-1 : upTo-l.baseIndex]
	size := 0
	for i, entry := range all {
		size += entry.size()
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries after index.
func (l *log) truncate(index uint64) {
	keep := index - l.baseIndex
	l.entries = l.entries[:keep:keep]
}

// compact moves the base up to index.
func (l *log) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	l.baseTerm = term
}

func (l *log) reset(index, term uint64) {
	l.baseIndex = index
	l.baseTerm = term
	l.entries = nil
}

// match returns the highest index up to limit whose term is at most term.
func (l *log) match(limit, term uint64) uint64 {
	limit = min(limit, l.last())
	if limit <= l.baseIndex {
		return limit
	}
	held := l.entries[:limit-l.baseIndex]
	count := sort.Search(len(held), func(i int) bool { return held[i].Term > term })
	return l.baseIndex + uint64(count)
}

// upToDate reports whether a log with this last entry holds all that l may have committed.
func (l *log) upToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.last()
}
