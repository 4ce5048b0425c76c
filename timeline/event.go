package timeline

// An Event is one entry of the timeline, recorded by a component of a process.
type Event struct {
	At      Stamp  `json:"at"`
	Process string `json:"process"`
	Part    string `json:"part"`
	Text    string `json:"text"`
}
