// Package quarantine keeps requests that crash backend servers from crashing more of them.
//
// The requests in flight at a crash are suspects. A suspect runs at one target at a time, after a trial was
// granted by the Register; a second crash quarantines it, and a whole run clears it. So one request that its
// caller sends again after each answer costs the fleet at most two backend servers.
package quarantine
