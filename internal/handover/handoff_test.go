package handover

import (
	"testing"
)

// Whatever happens on the links, exactly one process accepts clients; if the successor fails, the old process accepts them again.
func TestHandoff(t *testing.T) {
	var s Handoff
	lost := func(link int) [2]bool {
		handedOver, resume := s.LinkLost(link)
		return [2]bool{handedOver, resume}
	}
	neither, both := [2]bool{}, [2]bool{true, true}
	if !s.Begin(1) || s.Begin(2) || s.TakeOver(2) || s.HandedOver() {
		t.Error("only the first of two processes may begin, and it has not taken over yet")
	}
	if lost(2) != neither || lost(1) != neither || !s.Begin(3) {
		t.Error("the loss of a successor that has not taken over only allows another one to begin")
	}
	if !s.TakeOver(3) || s.TakeOver(3) || !s.HandedOver() || s.Begin(4) {
		t.Error("the successor takes over exactly once")
	}
	if lost(3) != both || s.HandedOver() {
		t.Error("this process accepts clients again after the loss of the successor")
	}
	if !s.Begin(5) || s.Shutdown() || !s.TakeOver(5) || lost(5) != [2]bool{true, false} || s.HandedOver() {
		t.Error("a process that is shutting down does not accept clients again")
	}
}
