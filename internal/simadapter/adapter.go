// Package simadapter hosts balancers behind the simulator's line protocol: it parses events, passes them to the balancers
// and writes the actions that the balancers request. It makes no balancing decisions itself.
//
// protocol.go defines the protocol's keywords and codes, line.go reads and parses lines, events.go dispatches events, and
// actions.go writes actions.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/settings"
)

const (
	readBufferBytes  = 1 << 20
	writeBufferBytes = 1 << 16
)

// numEndpointLists is the number of endpoint lists that the simulator keeps at a time.
const numEndpointLists = 16

// adapter is the state of one process: the instances that it hosts and the endpoint lists that they share.
type adapter struct {
	lines         lineReader
	output        *bufio.Writer
	now           time.Duration
	actions       []byte // output of the current batch
	instances     map[int]*instance
	endpointLists [numEndpointLists][]balance.Worker
}

// instance is one hosted balancer; it implements balance.Actions.
type instance struct {
	adapter      *adapter
	number       int
	balancer     *balance.Balancer
	reportLayout settings.ReportLayout
	classes      map[string]int
	report       balance.LoadReport // reused for each report; the balancer does not retain it
}

// Serve reads batches of events from in and writes the reply to each to out, until in ends. Errors include the line number.
func Serve(in io.Reader, out io.Writer) error {
	a := &adapter{
		lines:     lineReader{input: bufio.NewReaderSize(in, readBufferBytes), workerIDs: map[string]string{}},
		output:    bufio.NewWriterSize(out, writeBufferBytes),
		instances: map[int]*instance{},
	}
	for {
		err := a.serveBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", a.lines.lineNumber, err)
		}
	}
}

// serveBatch reads one batch, handles its events and writes the reply. It returns io.EOF if the input has no further batch.
func (a *adapter) serveBatch() error {
	header, err := a.lines.next()
	if err != nil {
		return err
	}
	if header.keyword() != eventBatchStart || len(header.fields) < 3 {
		return fmt.Errorf("want %q with clock and number, got %q", eventBatchStart, header.text)
	}
	clock := header.float(1)
	if header.err != nil {
		return header.err
	}
	number := string(header.fields[2])
	if _, err := strconv.ParseUint(number, 10, 64); err != nil {
		return fmt.Errorf("bad batch number %q", number)
	}
	a.now = settings.Milliseconds(clock)
	a.actions = a.actions[:0]
	if err := a.handleEvents(); err != nil {
		return err
	}
	a.actions = append(a.actions, actionBatchDone...)
	a.actions = append(a.actions, number...)
	a.actions = append(a.actions, '\n')
	return a.flush()
}

// handleEvents handles the events of a batch up to its end.
func (a *adapter) handleEvents() error {
	for {
		event, err := a.lines.next()
		if errors.Is(err, io.EOF) {
			return errors.New("input ends inside a batch")
		}
		if err != nil {
			return err
		}
		if event.keyword() == eventBatchEnd {
			return nil
		}
		if err := a.handleEvent(event); err != nil {
			return err
		}
	}
}

// flush writes the batch's actions to the output.
func (a *adapter) flush() error {
	_, err := a.output.Write(a.actions)
	if err == nil {
		err = a.output.Flush()
	}
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
