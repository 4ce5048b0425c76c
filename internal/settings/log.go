package settings

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

const defaultLevel = "info"

var (
	levels  = []string{"trace", "debug", "info", "warn", "error"}
	formats = []string{FormatText, FormatJSON}
)

// Log sets the minimum level and the format of the log lines of a process.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

func defaultLog() Log {
	return Log{Level: defaultLevel, Format: FormatText}
}
