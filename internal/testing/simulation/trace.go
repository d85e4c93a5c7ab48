package simulation

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recorder records the trace: its hash, its last lines and, on demand, all lines.
type recorder struct {
	hash  *xxhash.Digest
	last  []traceEntry
	keep  int
	buf   []byte
	all   io.Writer
	nodes io.Writer // receives the nodes' own log lines; may be nil
	lines int
}

// traceEntry is a line of the trace. Data bytes are formatted only when the line is printed.
type traceEntry struct {
	time  time.Duration
	text  string
	data  []byte
	total int
	sum   uint64
}

// String implements fmt.Stringer.
func (e traceEntry) String() string {
	if e.data == nil {
		return fmt.Sprintf("%12.6f %s", e.time.Seconds(), e.text)
	}
	return fmt.Sprintf("%12.6f %s %d %x %q", e.time.Seconds(), e.text, e.total, e.sum, e.data)
}

// trace adds a line to the trace.
func (sim *Simulation) trace(format string, a ...any) {
	sim.record(traceEntry{text: fmt.Sprintf(format, a...)})
}

// traceBytes adds a line for bytes that have arrived at one end of a link.
func (sim *Simulation) traceBytes(l *link, way string, p []byte) {
	sim.record(traceEntry{text: l.label + way, data: p[:min(len(p), 70)], total: len(p), sum: xxhash.Sum64(p)})
}

func (sim *Simulation) record(e traceEntry) {
	e.time = sim.now()
	r := &sim.recorder
	r.lines++
	r.buf = binary.LittleEndian.AppendUint64(r.buf[:0], uint64(e.time))
	r.buf = binary.LittleEndian.AppendUint64(append(r.buf, e.text...), e.sum)
	r.hash.Write(r.buf)
	if r.all != nil {
		sim.mu.Lock()
		fmt.Fprintln(r.all, e)
		sim.mu.Unlock()
	}
	if r.last = append(r.last, e); len(r.last) > 2*r.keep {
		r.last = append(r.last[:0], r.last[r.keep:]...)
	}
}

// nodeLog is the logger of a process.
type nodeLog struct{ *slog.Logger }

func noTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}

// nodeLogWriter writes a node's log lines to the recorder's log output. They are not part of the trace's hash, since goroutines write
// them in no fixed order.
type nodeLogWriter struct {
	simulation *Simulation
	name       string
}

// Write implements io.Writer.
func (p nodeLogWriter) Write(b []byte) (int, error) {
	p.simulation.mu.Lock()
	defer p.simulation.mu.Unlock()
	fmt.Fprintf(p.simulation.recorder.nodes, "%12.6f   %s %s", p.simulation.now().Seconds(), p.name, b)
	return len(b), nil
}
