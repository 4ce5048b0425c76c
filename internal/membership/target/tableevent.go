package target

// A TableEventKind is how a Table's entry for a target changed.
type TableEventKind string

// The kinds of TableEvent.
const (
	TargetAdded        TableEventKind = "learnt"
	TargetStateChanged TableEventKind = "state-changed"
	TargetRemoved      TableEventKind = "removed"
	// TargetReportedDraining means that the target's own answer reported draining before control did.
	TargetReportedDraining TableEventKind = "drains-by-its-answer"
)

// A TableEvent is a change of one target in a Table, with the table's epoch and version.
type TableEvent struct {
	Kind    TableEventKind
	Target  Target
	Epoch   uint64
	Version uint64
}
