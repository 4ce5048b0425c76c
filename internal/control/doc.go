// Package control is the process that holds the state which must survive.
//
// One control instance leads. It serves the sessions of all daemons: it confirms their
// configuration, grants them tokens of the workspaces' rates, answers claims, and spreads targets
// and quarantined requests. The others keep replicas of the log and relay sessions to the leader.
package control
