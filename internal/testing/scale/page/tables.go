package page

import (
	"strings"

	"swiftdeal/internal/testing/scale/record"
)

// Tables renders every table of the page.
func Tables(runs map[string]*record.Run) (map[string]string, error) { return tables(Rows, runs) }

func tables(rows []Row, runs map[string]*record.Run) (map[string]string, error) {
	var all []*series
	for _, r := range rows {
		s, err := read(r, runs)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	out := map[string]string{
		"slopes": slopes(all), "honesty": honesty(all), "ranking": ranking(all), "runs": list(runs),
		"faults": faults(runs), "changes": orNotRun(matrix(runs, "worst", changing, "changes", "files", "settings")),
		"benchmarks": orNotRun(matrix(runs, "median", timed, "decision", "view-")),
	}
	for _, name := range []string{"node", "worker", "discovery", "seat", "tool", "decision"} {
		out[name] = role(name, all)
	}
	return out, nil
}

// grid is a table in the making.
type grid struct{ strings.Builder }

func (g *grid) row(cells ...string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", "\\|")
	}
	g.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (g *grid) head(cells ...string) {
	if g.Len() > 0 {
		g.WriteString("\n")
	}
	g.row(cells...)
	g.WriteString("|" + strings.Repeat(" --- |", len(cells)) + "\n")
}

const notRun = "not run"
