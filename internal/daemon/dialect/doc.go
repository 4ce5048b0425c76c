// Package dialect is what a daemon needs to know of the headers in which its callers and its backend server speak.
package dialect
