// Package key creates the secrets that callers present, and finds the workspace of a secret by its hash.
// Only hashes are stored, so that neither a configuration nor a snapshot reveals a secret.
package key
