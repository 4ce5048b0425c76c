package standin

import (
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

// ResponseBody is the JSON body of a successful response.
type ResponseBody struct {
	Digest    string `json:"digest"`
	Service   string `json:"service"`
	Target    string `json:"target"`
	Workspace string `json:"workspace,omitempty"`
	Padding   string `json:"padding,omitempty"`
}

// Digest returns the hexadecimal hash of a request's method, URI (path and query) and body, or an error if reading body
// fails.
func Digest(method, uri string, body io.Reader) (string, error) {
	hash := xxhash.New()
	for _, part := range []string{method, uri} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	if body != nil {
		if _, err := io.Copy(hash, body); err != nil {
			return "", errorx.Decorate(err, "read request body")
		}
	}
	sum := binary.BigEndian.AppendUint64(nil, hash.Sum64())
	return hex.EncodeToString(sum), nil
}
