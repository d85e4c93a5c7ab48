package ingress

import (
	"os"
	"strconv"
	"strings"
	"sync"
)

const (
	// defaultSendBufferBytes is the usual most that Linux holds of what a program has written to a connection.
	defaultSendBufferBytes = 4 << 20
	// sendBufferExcess is how much the most may be exceeded by, which is one packet and its overhead.
	sendBufferExcess = 256 << 10

	// tcpSendBufferPath has the least, the usual and the greatest size to which the system sets a send buffer by itself.
	tcpSendBufferPath = "/proc/sys/net/ipv4/tcp_wmem"
	// requestedSendBufferPath has the greatest size that a program may ask for. The system doubles what is asked for.
	requestedSendBufferPath = "/proc/sys/net/core/wmem_max"
	requestedSendBufferUnit = 2
)

// maxUnsentBytes returns more than a client's system holds of what the client has written and the node's system has not received. A
// client's machine is taken to have the limits of this one.
var maxUnsentBytes = sync.OnceValue(func() int {
	largest := max(defaultSendBufferBytes, lastNumber(tcpSendBufferPath), requestedSendBufferUnit*lastNumber(requestedSendBufferPath))
	return largest + sendBufferExcess
})

// lastNumber returns the last number in a file, 0 if there is none.
func lastNumber(path string) int {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return 0
	}
	number, err := strconv.Atoi(fields[len(fields)-1])
	if err != nil {
		return 0
	}
	return number
}
