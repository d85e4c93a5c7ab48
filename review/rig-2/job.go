package main

import (
	"fmt"
	"time"
)

// jobSpec is a job as a client sends it.
type jobSpec struct {
	id, class string
	ms        int
	patience  time.Duration
}

// text is the request.
func (s jobSpec) text() []byte {
	body := fmt.Sprintf(`{"ms":%d}`, s.ms)
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\n"+
		"Idempotency-Key: key-%s\r\nX-Cost-Hint: %d\r\nX-Extras: slots=1,memory=1\r\nContent-Length: %d\r\n\r\n%s",
		s.class, s.id, s.patience.Seconds(), s.id, s.ms*1000, len(body), body)
}
