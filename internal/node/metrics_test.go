package node

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// fixedLabels matches the metrics whose label values are part of the published interface.
var fixedLabels = regexp.MustCompile(`^gw_(invariant_violations|attempts_withheld|attempts_ended|connections_closed|events_handled)\{`)

// metricNames lists the names and types of metrics and the fixed label values, one per line.
func metricNames(text string) string {
	var names []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "# TYPE ") {
			names = append(names, strings.TrimSpace(line))
		} else if fixedLabels.MatchString(line) {
			names = append(names, line[:strings.LastIndexByte(line, ' ')])
		}
	}
	return strings.Join(names, "\n") + "\n"
}

// Metrics keep the names, types and labels in testdata/metrics.txt, which was written by revision 33b4d57 and lists those added
// since (gw_event*). The node has all
// optional parts that publish metrics: a fleet, a control plane and fleet settings.
func TestMetricNames(t *testing.T) {
	want, err := os.ReadFile("testdata/metrics.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, text := startFleet(t, "")[0].controlCall(t, "GET", "/-/metrics")
	if got := metricNames(text); got != string(want) {
		t.Errorf("metrics are\n%s\nwant\n%s", got, want)
	}
}
