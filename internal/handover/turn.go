package handover

// Turn settles, in the old process, who takes clients. It does no I/O and reads no clock.
type Turn struct {
	partner int  // the link of the process that may take over; 0 if there is none
	yielded bool // that one takes clients
	ending  bool // this process was told to end: it takes none back
}

// Hello takes a process's wish to take over, by the number of its link (from 1), and reports whether it may. While
// another one is at it, it may not.
func (t *Turn) Hello(link int) bool {
	if t.partner != 0 {
		return false
	}
	t.partner = link
	return true
}

// Take takes the word that the other process takes clients, and reports whether this one is to stop.
func (t *Turn) Take(link int) bool {
	if link != t.partner || t.yielded {
		return false
	}
	t.yielded = true
	return true
}

// Lost takes the end of a link, and reports whether this process is to take clients again: the other one is gone, and
// nobody else takes them.
func (t *Turn) Lost(link int) bool {
	if link != t.partner {
		return false
	}
	back := t.yielded && !t.ending
	t.partner, t.yielded = 0, false
	return back
}

// End takes the word that this process is to end. It reports whether another one takes clients.
func (t *Turn) End() bool {
	t.ending = true
	return t.yielded
}

// Yielded reports whether another process takes clients.
func (t *Turn) Yielded() bool { return t.yielded }
