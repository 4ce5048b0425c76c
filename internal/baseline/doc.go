// Package baseline holds the ways of calling services that sapphirespread is measured against.
//
// Without control a hop calls a random target directly, with no limit and no retry. With fixed limits
// each target has a fixed limit on requests in flight, and each hop makes three naive retries.
package baseline
