package message

import (
	"net/http"

	"sapphirespread.example/internal/peer/peerpb"
)

// EncodeHeader encodes an HTTP header as name and values pairs. Values may be any bytes.
func EncodeHeader(header http.Header) []*peerpb.Header {
	encoded := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		encoded = append(encoded, &peerpb.Header{Name: name, Values: toBytes(values)})
	}
	return encoded
}

// DecodeHeader decodes an HTTP header and canonicalizes its names.
func DecodeHeader(encoded []*peerpb.Header) http.Header {
	header := make(http.Header, len(encoded))
	for _, field := range encoded {
		header[http.CanonicalHeaderKey(field.GetName())] = toStrings(field.GetValues())
	}
	return header
}

func toBytes(values []string) [][]byte {
	converted := make([][]byte, len(values))
	for i, value := range values {
		converted[i] = []byte(value)
	}
	return converted
}

func toStrings(values [][]byte) []string {
	converted := make([]string, len(values))
	for i, value := range values {
		converted[i] = string(value)
	}
	return converted
}
