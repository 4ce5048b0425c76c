// Package key generates the secrets that callers present and looks up the workspace of a secret by its hash.
// Only hashes are stored, so that neither a configuration nor a snapshot reveals a secret.
package key
