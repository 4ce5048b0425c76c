// Package control implements the control process, which keeps the cluster state that must survive failures.
//
// Several control instances replicate that state through a log. The leader serves the sessions of all daemons. It
// confirms their configuration, grants them tokens from the rate limits of the workspaces, answers claims, and
// distributes targets and quarantined requests. The other instances relay sessions to the leader.
package control
