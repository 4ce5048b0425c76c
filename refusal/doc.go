// Package refusal holds the closed list of error kinds and the answer that a caller gets for each.
package refusal
