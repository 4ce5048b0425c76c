package connection

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
)

// MaxStatus is the largest status of an HTTP response.
const MaxStatus = 599

// A status line is a version such as HTTP/1.1, a space, a status of three digits, and the reason or the end of the line.
const (
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + 3
)

// checkStatus checks the status of the response that reader is about to return, without consuming it. http.ReadResponse
// accepts any number that fits three characters, such as 000, 999 or +20.
func checkStatus(reader *bufio.Reader) error {
	line, err := reader.Peek(statusEnd + 1)
	if err != nil {
		return fmt.Errorf("reading a status: %w", err)
	}
	digits := string(line[statusStart:statusEnd])
	status, err := strconv.ParseUint(digits, 10, 16)
	switch end := line[statusEnd]; {
	case err != nil, line[statusStart-1] != ' ', end != ' ' && end != '\r' && end != '\n':
		return fmt.Errorf("reading a status: malformed line %q", line)
	case status < http.StatusContinue || status > MaxStatus || status == http.StatusSwitchingProtocols:
		return fmt.Errorf("reading a status: %s is none", digits)
	}
	return nil
}
