package ingress

import "testing"

// isGranted reports whether a turn has been granted.
func isGranted(turn *readTurn) bool {
	select {
	case <-turn.granted:
		return true
	default:
		return false
	}
}

// Guards against requests that are sent on after their clients have left because all connections are read at once: one reads at a time,
// and those for which an attempt waits come first.
func TestReadTurns(t *testing.T) {
	var turns readTurns
	first, second, urgent, hurried := turns.request(false), turns.request(false), turns.request(true), turns.request(false)
	turns.hurry(hurried)
	for i, turn := range []*readTurn{first, urgent, hurried, second} {
		if !isGranted(turn) {
			t.Fatalf("turn %d is not granted when those before have ended", i)
		}
		if want := i < 2; turns.urgentWaits() != want {
			t.Errorf("in turn %d it is said that an urgent one waits: %v", i, !want)
		}
		turns.end()
	}
}

// A turn that is withdrawn, before or after it was granted, does not keep others from reading.
func TestReadTurnIsWithdrawn(t *testing.T) {
	var turns readTurns
	granted, waiting, last := turns.request(false), turns.request(true), turns.request(false)
	turns.cancel(waiting)
	if isGranted(waiting) || isGranted(last) {
		t.Error("a turn is granted beside another one")
	}
	turns.cancel(granted)
	if !isGranted(last) {
		t.Error("no turn is granted though none is taken")
	}
}
