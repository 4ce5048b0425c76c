package demo

import (
	"io"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"

	"sapphirespread.example/timeline"
)

const folderMode = 0o750

// writeTimeline writes events to timeline.txt and timeline.html in folder.
func writeTimeline(folder string, events []timeline.Event) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errorx.Decorate(err, "create folder for the time line")
	}
	if err := writeFile(filepath.Join(folder, "timeline.txt"), events, timeline.WriteText); err != nil {
		return err
	}
	return writeFile(filepath.Join(folder, "timeline.html"), events, timeline.WriteHTML)
}

func writeFile(path string, events []timeline.Event, write func(io.Writer, []timeline.Event) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errorx.Decorate(err, "create %s", path)
	}
	if err := write(file, events); err != nil {
		_ = file.Close()
		return errorx.Decorate(err, "write %s", path)
	}
	if err := file.Close(); err != nil {
		return errorx.Decorate(err, "write %s", path)
	}
	return nil
}
