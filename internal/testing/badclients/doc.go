// Package badclients runs real processes of one node among clients that misbehave: that leave with much still to be read, stop in the
// middle of a request, send malformed requests without end, or keep using connections of a process that shuts down. The workers and
// discovery are fakes in the test's own process. It is used by tests alone.
package badclients
