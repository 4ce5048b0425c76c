// Package completion estimates how long a call to a target takes until its answer, from the load that the target
// reported, the age of the report and the calls sent since.
package completion
