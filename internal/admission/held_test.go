package admission

import (
	"testing"
	"time"

	"swiftdeal/internal/request"
)

// Guards against usual requests that are refused beside clients that flood: requests that are held do not take the places of open ones.
func TestHeldRequestsLeaveRoom(t *testing.T) {
	a := New(limits, classes, func(*request.Context) {})
	a.SetCapacity(1, 2*heldRequestBytes)
	first, second := newContext("held-1", "safe", time.Second, ""), newContext("held-2", "safe", time.Second, "")
	third, usual := newContext("held-3", "safe", time.Second, ""), newContext("usual", "safe", time.Second, "")
	if !a.AdmitHeld(first) || !a.AdmitHeld(second) {
		t.Fatal("a request is not held")
	}
	if a.AdmitHeld(third) || third.Answer().Verdict != request.Rejected {
		t.Error("more requests are held than their size allows")
	}
	if a.OpenRequests() != 2 || !a.Admit(usual) {
		t.Error("requests that are held take the place of an open one")
	}
	if a.Activate(first, false) || first.Answer().Verdict != request.Rejected {
		t.Error("a held request becomes an open one beyond their limit")
	}
	if !a.Activate(second, true) {
		t.Error("a held request is limited that may not be")
	}
	for _, c := range []*request.Context{first, second, usual} {
		a.Release(c)
	}
	if a.held != (heldRequests{}) || a.OpenRequests() != 0 {
		t.Errorf("after the release %+v is held, %d are open", a.held, a.OpenRequests())
	}
}

// A request that came from another process can be held, too, and has the place of an open one after that.
func TestImportedRequestIsHeld(t *testing.T) {
	a := New(limits, classes, func(*request.Context) {})
	a.SetCapacity(1, 0)
	imported, usual := newContext("imported", "safe", time.Second, ""), newContext("usual", "safe", time.Second, "")
	next := newContext("next", "safe", time.Second, "")
	if !a.AdmitImported(imported) {
		t.Fatal("the request is not admitted")
	}
	a.Hold(imported)
	if !a.Admit(usual) {
		t.Error("the held request takes the place of an open one")
	}
	a.Release(usual)
	if !a.Activate(imported, false) || a.Admit(next) {
		t.Error("the request that was held does not count as an open one")
	}
}
