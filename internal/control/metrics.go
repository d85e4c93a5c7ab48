package control

import (
	"bytes"
	"strconv"
	"strings"
)

// ContentType is the content type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Family is a metric family in the terms of Prometheus: a metric with its samples.
type Family struct {
	Name    string
	Help    string
	Gauge   bool   // false: a counter
	Label   string // name of the samples' label; empty: one sample without a label
	Samples []Sample
}

// Sample is the value of a metric for one value of the family's label. LabelValue is ignored if the family has no label.
type Sample struct {
	LabelValue string
	Value      int64
}

// Scalar returns a family with one sample and no label.
func Scalar(name, help string, gauge bool, value int64) Family {
	return Family{Name: name, Help: help, Gauge: gauge, Samples: []Sample{{Value: value}}}
}

var (
	escapeHelp  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
	escapeLabel = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
)

// WriteText writes metrics in the Prometheus text format.
func WriteText(out *bytes.Buffer, families []Family) {
	for _, family := range families {
		kind := "counter"
		if family.Gauge {
			kind = "gauge"
		}
		out.WriteString("# HELP " + family.Name + " " + escapeHelp.Replace(family.Help) + "\n")
		out.WriteString("# TYPE " + family.Name + " " + kind + "\n")
		for _, sample := range family.Samples {
			out.WriteString(family.Name + family.labels(sample) + " " + strconv.FormatInt(sample.Value, 10) + "\n")
		}
	}
}

// labels returns the label part of a sample in the text format; it is empty if the family has no label.
func (f *Family) labels(s Sample) string {
	if f.Label == "" {
		return ""
	}
	value := escapeLabel.Replace(strings.ToValidUTF8(s.LabelValue, "\uFFFD"))
	return "{" + f.Label + `="` + value + `"}`
}
