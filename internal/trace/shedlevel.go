package trace

import (
	"fmt"
	"strings"
	"time"

	"sapphirespread.example/priority"
)

// A ShedLevel is a priority.Level whose expiry is relative to the start of the recording.
type ShedLevel struct {
	Priority   int              `json:"priority,omitempty"`
	Share      float64          `json:"share,omitempty"`
	Workspaces []WorkspaceShare `json:"workspaces,omitempty"`
	ValidUntil time.Duration    `json:"valid-until,omitempty"`
}

// A WorkspaceShare is a priority.WorkspaceShare with JSON names.
type WorkspaceShare struct {
	Workspace priority.WorkspaceHash `json:"hash"`
	Share     float64                `json:"share,omitempty"`
}

// newShedLevel converts level. It returns nil for a level without an expiry.
func newShedLevel(start time.Time, level priority.Level) *ShedLevel {
	if level.ValidUntil.IsZero() {
		return nil
	}
	recorded := &ShedLevel{Priority: level.Priority, Share: level.Share, ValidUntil: offset(start, level.ValidUntil)}
	for _, s := range level.Workspaces {
		recorded.Workspaces = append(recorded.Workspaces, WorkspaceShare(s))
	}
	return recorded
}

// level converts l back. A nil ShedLevel becomes the zero level.
func (l *ShedLevel) level(start time.Time) priority.Level {
	if l == nil {
		return priority.Level{}
	}
	restored := priority.Level{Priority: l.Priority, Share: l.Share, ValidUntil: timeAt(start, l.ValidUntil)}
	for _, s := range l.Workspaces {
		restored.Workspaces = append(restored.Workspaces, priority.WorkspaceShare(s))
	}
	return restored
}

// formatLevel returns the level as text, without its expiry.
func formatLevel(level priority.Level) string {
	var text strings.Builder
	fmt.Fprintf(&text, "level %d %.4f", level.Priority, level.Share)
	for _, s := range level.Workspaces {
		fmt.Fprintf(&text, " %08x=%.4f", uint32(s.Workspace), s.Share)
	}
	return text.String()
}
