// Package timeline records the events of a process and merges the events of several processes.
//
// Each event has a timestamp of a hybrid logical clock. Messages between processes carry timestamps, so that an event
// never precedes its cause in the merged order.
package timeline
