package budget

import "time"

const (
	// ConnectionBytes is the memory that an open connection is taken to hold: two small buffers and a goroutine.
	ConnectionBytes = 10 << 10
	// defaultGrace is the time in which an ordinary client is served, and thus not given up.
	defaultGrace = time.Second
	// minRate, in bytes a second, is what a client is expected to send or read. Slower ones fall behind.
	minRate = 16 << 10
	// reservePart is the part of the memory that bodies and answers leave to requests without them.
	reservePart = 8
	// slackPart is the part of a limit that is freed beyond the need, so that the holders aren't searched at each step.
	slackPart = 32
	// searchPause is the time before the holders are searched again after a search in vain.
	searchPause = 50 * time.Millisecond
)

// Limits holds the bounds of a Budget. Zero stands for no bound, and for the default grace of a second.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the memory that all holdings take together.
	Bytes int64
	// Grace is the time for which a client that keeps the process waiting is not given up.
	Grace time.Duration
}
