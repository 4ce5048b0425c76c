// Package quarantine stops requests that crash backend servers from crashing more of them.
//
// All requests in flight at a crash become suspects. A suspect runs at one target at a time, after the Register has
// granted a trial. A second crash quarantines the suspect; a run that completes clears it. A request whose caller
// resends it after each answer therefore crashes at most two backend servers of the fleet.
package quarantine
