// Package logwriter writes log lines asynchronously, so that logging never blocks.
//
// Lines pass through a bounded queue. A line that exceeds the rate limit of its class or the size of the queue is
// dropped and counted, and the counts are logged periodically.
package logwriter
