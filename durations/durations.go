// Package durations holds what is known of the run times of tasks: the speed of backend
// servers, and the distribution of run times by route. It has no clock and no I/O. Entries
// (package schedule) and agents (package run) use it.
package durations
