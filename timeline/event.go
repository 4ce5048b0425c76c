package timeline

// An Event is something that a process did or saw.
type Event struct {
	At      Stamp  `json:"at"`
	Process string `json:"process"`
	Part    string `json:"part"`
	Text    string `json:"text"`
}
