// Package outlet writes log lines without ever making their writers wait.
//
// Lines pass through a bounded queue. What is beyond the rate of its level, or beyond the queue, is dropped and counted,
// and the count is told in a line of its own.
package outlet
