// Package load holds what a backend server tells about its load, and the state that the daemon beside it makes of this
// and of its own calls for the daemons that call.
package load
