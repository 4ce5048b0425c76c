// Package refusal defines the closed set of refusal kinds and the response that a caller gets for each.
package refusal
