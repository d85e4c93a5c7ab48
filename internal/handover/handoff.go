package handover

// Handoff is the state machine of the old process that decides which process accepts clients. It does no I/O and reads no clock.
// It is not safe for concurrent use.
type Handoff struct {
	successor    int  // the link of the process that may take over; 0 if there is none
	handedOver   bool // the successor accepts clients
	shuttingDown bool // this process is ending and does not accept clients again
}

// Begin records that a process asks to take over, by the number of its link (from 1), and reports whether it may. It may not
// while the handover to another process is in progress.
func (h *Handoff) Begin(link int) bool {
	if h.successor != 0 {
		return false
	}
	h.successor = link
	return true
}

// TakeOver records that the successor accepts clients, and reports whether this process must stop accepting them.
func (h *Handoff) TakeOver(link int) bool {
	if link != h.successor || h.handedOver {
		return false
	}
	h.handedOver = true
	return true
}

// LinkLost records the end of a link. It reports whether the link was that of a successor that accepted clients, and if so,
// whether this process must accept them again.
func (h *Handoff) LinkLost(link int) (handedOver, resume bool) {
	if link != h.successor {
		return false, false
	}
	handedOver = h.handedOver
	h.successor, h.handedOver = 0, false
	return handedOver, handedOver && !h.shuttingDown
}

// Shutdown records that this process is ending. It reports whether a successor accepts clients.
func (h *Handoff) Shutdown() bool {
	h.shuttingDown = true
	return h.handedOver
}

// HandedOver reports whether a successor accepts clients.
func (h *Handoff) HandedOver() bool { return h.handedOver }
