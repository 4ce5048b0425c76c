// Package timeline records the events of one process and merges those of many.
//
// Each event carries a reading of a hybrid logical clock, which messages between processes advance,
// so an event that another caused never stands before it in the merged order.
package timeline
