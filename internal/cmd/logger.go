package cmd

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/settings"
)

// newLogger returns a logger with the level and format of the settings, or an error if the level is unknown.
func newLogger(w io.Writer, log settings.Log, process string) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(log.Level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("reading the log level: %w", err)
	}
	if log.Format == settings.FormatText {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.StampMicro, NoColor: true}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("process", process).Logger(), nil
}
