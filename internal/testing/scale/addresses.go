package scale

import (
	"fmt"
	"strconv"
	"strings"
)

// Ports, of addresses that belong to the run's block alone.
const (
	lockPort    = 7000
	clientsPort = 7001
	controlPort = 7002
	discoPort   = 7100
	workerPort  = 7200
	gossipPort  = 7946
	workersHost = 250 // third byte of workers' addresses
	eachHost    = 200 // members, or workers, in a third byte
)

// addressBlock are the addresses of a run: a /16 of loopback.
type addressBlock int

func (b addressBlock) member(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", int(b), 1+i/eachHost, 1+i%eachHost, port)
}

func (b addressBlock) discovery() string { return fmt.Sprintf("127.%d.0.2:%d", int(b), discoPort) }

func (b addressBlock) worker(w int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", int(b), workersHost, 1+w%eachHost, workerPort+w/eachHost)
}

func (b addressBlock) lock() string { return fmt.Sprintf("127.%d.0.1:%d", int(b), lockPort) }

// at is the member whose address it is; -1 for nobody's.
func (b addressBlock) at(addr string) int {
	host, _, _ := strings.Cut(addr, ":")
	f := strings.Split(host, ".")
	if len(f) != 4 || f[1] != strconv.Itoa(int(b)) {
		return -1
	}
	hi, _ := strconv.Atoi(f[2])
	lo, _ := strconv.Atoi(f[3])
	return (hi-1)*eachHost + lo - 1
}
