package configuration

import "time"

// A HistoryEntry records the author, time, publication ID, comment and number of changed objects of a revision.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	Comment  string    `json:"comment,omitempty"`
	Changes  int       `json:"changes"`
}
