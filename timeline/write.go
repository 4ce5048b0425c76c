package timeline

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"
)

const clockFormat = "15:04:05.000000"

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("timeline").Parse(pageHTML))

// WriteText writes one line of text per event.
func WriteText(w io.Writer, events []Event) error {
	for _, event := range events {
		_, err := fmt.Fprintf(w, "%s.%d %-24s %-14s %s\n",
			event.At.Wall.UTC().Format(clockFormat), event.At.Logical, event.Process, event.Part, event.Text)
		if err != nil {
			return fmt.Errorf("writing the timeline: %w", err)
		}
	}
	return nil
}

// WriteJSON writes one JSON object per line for each event.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return fmt.Errorf("encoding the timeline: %w", err)
		}
	}
	return nil
}

// pageData is the template data of the page.
type pageData struct {
	From      string
	Processes []string
	Rows      []pageRow
}

// pageRow is the table row of one event.
type pageRow struct {
	Offset  string
	Clock   string
	Column  int
	Process string
	Part    string
	Text    string
}

// WriteHTML writes a self-contained HTML page with a filterable table of the events. Each process has its own color.
func WriteHTML(w io.Writer, events []Event) error {
	if err := pageTemplate.Execute(w, newPageData(events)); err != nil {
		return fmt.Errorf("writing the timeline page: %w", err)
	}
	return nil
}

func newPageData(events []Event) pageData {
	data := pageData{Processes: processNames(events)}
	if len(events) == 0 {
		return data
	}
	start := events[0].At.Wall
	data.From = start.UTC().Format(time.RFC3339Nano)
	for _, event := range events {
		column, _ := slices.BinarySearch(data.Processes, event.Process)
		data.Rows = append(data.Rows, pageRow{
			Offset:  fmt.Sprintf("%+.3f s", event.At.Wall.Sub(start).Seconds()),
			Clock:   event.At.Wall.UTC().Format(clockFormat),
			Column:  column,
			Process: event.Process,
			Part:    event.Part,
			Text:    event.Text,
		})
	}
	return data
}

func processNames(events []Event) []string {
	var names []string
	for _, event := range events {
		names = append(names, event.Process)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
