// Package limit holds each workspace to one rate and burst across all instances.
//
// One Owner keeps the token bucket of each workspace and hands tokens to Holders in grants that expire. The
// level of a bucket and its unexpired outstanding grants together never exceed the burst, so the use of a
// workspace in every window w is at most burst + rate*w, whatever crashes, freezes or is lost.
package limit
