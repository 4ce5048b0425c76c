// Package departure records which processes of backend servers are leaving or have left, as a part of the replicated
// state, so that no restart of another process brings them back into use.
package departure
