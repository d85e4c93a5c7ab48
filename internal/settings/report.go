package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"

	"swiftdeal/balance"
)

// ReportLayout holds the positions of the values in a load report; -1 for a value that reports do not contain.
type ReportLayout struct {
	freeSlots, freeMemory, queue, inFlight int
	indexByName                            map[string]int // position by name, including the aliases
}

// fieldAliases maps the settings' name of a field to the name that a worker may use instead.
var fieldAliases = map[string]string{
	fieldInFlight: "inflight", fieldQueue: "queue", "tps": "qps", "err_ps": "eps", "load_share": "util",
	"mean_ms": "latency_ms",
}

// newReportLayout returns the layout of reports with the given fields. x0 and x1 are the settings' texts for the meaning of
// the fields of those names.
func newReportLayout(fields []string, x0, x1 string) ReportLayout {
	l := ReportLayout{freeSlots: -1, freeMemory: -1, queue: -1, inFlight: -1, indexByName: map[string]int{}}
	for i, f := range fields {
		l.indexByName[f] = i
		if other, ok := fieldAliases[f]; ok {
			l.indexByName[other] = i
		}
		meaning := map[string]string{"x0": x0, "x1": x1}[f]
		switch {
		case f == fieldQueue:
			l.queue = i
		case f == fieldInFlight:
			l.inFlight = i
		case meaning == meaningFreeSlots:
			l.freeSlots = i
		case meaning == meaningFreeMemory:
			l.freeMemory = i
		}
	}
	return l
}

// emptyReport returns a report without values, with the fingerprint of its raw text.
func emptyReport(raw []byte) balance.LoadReport {
	h := fnv.New64a()
	h.Write(raw)
	return balance.LoadReport{FreeSlots: -1, FreeMemory: -1, QueueLength: -1, InFlight: -1, Fingerprint: h.Sum64()}
}

// assign sets the field of the report whose position is index; it ignores positions that are not used.
func (l ReportLayout) assign(r *balance.LoadReport, index int, v float64) {
	switch index {
	case l.freeSlots:
		r.FreeSlots = v
	case l.freeMemory:
		r.FreeMemory = v
	case l.queue:
		r.QueueLength = v
	case l.inFlight:
		r.InFlight = v
	}
}

// ParseRow parses a report of comma-separated values in the order of the settings; a value that is empty or "-" is not
// reported.
func (l ReportLayout) ParseRow(text []byte) (balance.LoadReport, error) {
	r := emptyReport(text)
	for index, more := 0, true; more; index++ {
		var field []byte
		field, text, more = bytes.Cut(text, []byte(","))
		if len(field) == 0 || (len(field) == 1 && field[0] == '-') {
			continue
		}
		v, err := ParseNumber(field)
		if err != nil {
			return r, err
		}
		l.assign(&r, index, v)
	}
	return r, nil
}

// ParseText parses a report in the workers' text form: "TEXT name=value, name=value". Unknown names are ignored.
func (l ReportLayout) ParseText(text []byte) (balance.LoadReport, error) {
	r := emptyReport(text)
	rest, ok := bytes.CutPrefix(bytes.TrimSpace(text), []byte("TEXT"))
	if !ok {
		return r, fmt.Errorf("malformed load report %q", text)
	}
	for more := len(bytes.TrimSpace(rest)) > 0; more; {
		var pair []byte
		pair, rest, more = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return r, fmt.Errorf("malformed load report %q", text)
		}
		v, err := ParseNumber(bytes.TrimSpace(value))
		if err != nil {
			return r, err
		}
		if index, ok := l.indexByName[string(bytes.TrimSpace(name))]; ok {
			l.assign(&r, index, v)
		}
	}
	return r, nil
}

// ParseObject parses a report in the form of a JSON object. Unknown names are ignored.
func (l ReportLayout) ParseObject(text []byte) (balance.LoadReport, error) {
	r := emptyReport(text)
	var values map[string]float64
	if err := json.Unmarshal(text, &values); err != nil {
		return r, fmt.Errorf("malformed load report: %w", err)
	}
	for name, v := range values {
		if index, ok := l.indexByName[name]; ok {
			l.assign(&r, index, v)
		}
	}
	return r, nil
}
