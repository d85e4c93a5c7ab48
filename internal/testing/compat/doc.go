// Package compat tests this build of the program against an earlier release: a process of either one hands its client connections
// and open requests over to a process of the other.
package compat
