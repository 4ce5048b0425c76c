// Package limit enforces one rate and burst per workspace across all instances.
//
// An Owner keeps the token bucket of each workspace and issues tokens to Holders in grants that expire. The level
// of a bucket plus its unexpired outstanding grants never exceeds the burst. A workspace therefore spends at most
// burst + rate*w tokens in every window w, even if instances crash or freeze and messages are lost.
package limit
