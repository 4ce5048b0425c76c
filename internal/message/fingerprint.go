package message

import "sapphirespread.example/quarantine"

// DecodeFingerprint decodes a fingerprint. It replaces missing bytes by zeros and ignores excess bytes.
func DecodeFingerprint(encoded []byte) quarantine.Fingerprint {
	var fingerprint quarantine.Fingerprint
	copy(fingerprint[:], encoded)
	return fingerprint
}
