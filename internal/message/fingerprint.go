package message

import "sapphirespread.example/quarantine"

// DecodeFingerprint returns the fingerprint of its bytes; what is missing of them is zero.
func DecodeFingerprint(encoded []byte) quarantine.Fingerprint {
	var fingerprint quarantine.Fingerprint
	copy(fingerprint[:], encoded)
	return fingerprint
}
