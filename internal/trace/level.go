package trace

import (
	"fmt"
	"strings"
	"time"

	"sapphirespread.example/priority"
)

// A ShedLevel is a priority.Level with its end from the start of the recording.
type ShedLevel struct {
	Priority   int              `json:"priority,omitempty"`
	Share      float64          `json:"share,omitempty"`
	Workspaces []WorkspaceShare `json:"workspaces,omitempty"`
	ValidUntil time.Duration    `json:"valid-until,omitempty"`
}

// A WorkspaceShare is a priority.WorkspaceShare.
type WorkspaceShare struct {
	Workspace priority.WorkspaceHash `json:"hash"`
	Share     float64                `json:"share,omitempty"`
}

// shedLevelOf returns nil for the zero level.
func shedLevelOf(start time.Time, level priority.Level) *ShedLevel {
	if level.ValidUntil.IsZero() {
		return nil
	}
	recorded := &ShedLevel{Priority: level.Priority, Share: level.Share, ValidUntil: offset(start, level.ValidUntil)}
	for _, s := range level.Workspaces {
		recorded.Workspaces = append(recorded.Workspaces, WorkspaceShare(s))
	}
	return recorded
}

func (l *ShedLevel) at(start time.Time) priority.Level {
	if l == nil {
		return priority.Level{}
	}
	level := priority.Level{Priority: l.Priority, Share: l.Share, ValidUntil: instant(start, l.ValidUntil)}
	for _, s := range l.Workspaces {
		level.Workspaces = append(level.Workspaces, priority.WorkspaceShare(s))
	}
	return level
}

// describe leaves out the end of the level.
func describe(level priority.Level) string {
	var text strings.Builder
	fmt.Fprintf(&text, "level %d %.4f", level.Priority, level.Share)
	for _, s := range level.Workspaces {
		fmt.Fprintf(&text, " %08x=%.4f", uint32(s.Workspace), s.Share)
	}
	return text.String()
}
