package settings

// The formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

const defaultLevel = "info"

var (
	levels  = []string{"trace", "debug", "info", "warn", "error"}
	formats = []string{FormatText, FormatJSON}
)

// Log tells which log lines a process writes, and how.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

func defaultLog() Log {
	return Log{Level: defaultLevel, Format: FormatText}
}
