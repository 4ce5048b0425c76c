package configuration

import "time"

// An Entry tells who published a revision, when and with how many changed objects.
type Entry struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	ID       string    `json:"id"`
	Author   string    `json:"author,omitempty"`
	Comment  string    `json:"comment,omitempty"`
	Changes  int       `json:"changes"`
}
