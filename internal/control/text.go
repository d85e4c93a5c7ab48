package control

import (
	"bytes"
	"strconv"
	"strings"
)

// ContentType is the Prometheus text format's.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Family is a figure with its rows, as Prometheus names them.
type Family struct {
	Name  string
	Help  string
	Gauge bool // else a counter
	Label string
	Rows  []Row
}

// Row is a value under one value of the family's label; where the family has no label, Of is not used.
type Row struct {
	Of    string
	Value int64
}

// One returns the family of a figure without labels.
func One(name, help string, gauge bool, v int64) Family {
	return Family{Name: name, Help: help, Gauge: gauge, Rows: []Row{{Value: v}}}
}

var (
	escapeHelp  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
	escapeLabel = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
)

// Text words figures in the Prometheus text format.
func Text(b *bytes.Buffer, list []Family) {
	for _, f := range list {
		kind := " counter\n"
		if f.Gauge {
			kind = " gauge\n"
		}
		b.WriteString("# HELP " + f.Name + " " + escapeHelp.Replace(f.Help) + "\n# TYPE " + f.Name + kind)
		for _, r := range f.Rows {
			b.WriteString(f.Name)
			if f.Label != "" {
				b.WriteString("{" + f.Label + `="` + escapeLabel.Replace(strings.ToValidUTF8(r.Of, "\uFFFD")) + `"}`)
			}
			b.WriteString(" " + strconv.FormatInt(r.Value, 10) + "\n")
		}
	}
}
