package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"swiftdeal/internal/testing/scale/fit"
	"swiftdeal/internal/testing/scale/page"
	"swiftdeal/internal/testing/scale/record"
)

type fitCmd struct {
	File      string    `arg:"" help:"The run's file."`
	Role      string    `       help:"Only this role."`
	Metric    string    `       help:"Only metrics that begin like this."`
	Statistic string    `       help:"Over a role's members: median, worst or mean." enum:"median,worst,mean" default:"median"`
	At        []float64 `       help:"Sizes to predict for."                                                  default:"100,335,1000"`
}

// Run runs the command.
func (f fitCmd) Run() error {
	for _, n := range f.At {
		if !(n > 0) {
			return fmt.Errorf("--at: %g is not above 0", n)
		}
	}
	run, err := record.Read(f.File)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprint(w, "role\tmetric\tform\tresidual\tforetold for the largest\t")
	for _, n := range f.At {
		fmt.Fprintf(w, "at %s\t", page.Plain(n))
	}
	fmt.Fprintln(w)
	found := false
	series := map[string]map[string]bool{}
	for _, p := range run.Points {
		for role, r := range p.Roles {
			if series[role] == nil {
				series[role] = map[string]bool{}
			}
			for m := range r.Values {
				series[role][m] = true
			}
		}
	}
	for _, role := range slices.Sorted(maps.Keys(series)) {
		for _, m := range slices.Sorted(maps.Keys(series[role])) {
			if f.Role != "" && role != f.Role || !strings.HasPrefix(m, f.Metric) {
				continue
			}
			found = true
			size, value, unit := run.Series(role, m, f.Statistic)
			s, err := fit.Fit(size, value)
			if err != nil {
				fmt.Fprintf(w, "%s\t%s\t%v\n", role, m, err)
				continue
			}
			c := fit.CheckExtrapolation(size, value, s.Form)
			fmt.Fprintf(w, "%s\t%s\t%v\t%.1f%%\t%v: %+.1f%%\t", role, m, s.Form, 100*s.RelativeRMSError, c.Verdict, 100*c.Error)
			for _, n := range f.At {
				v, spread := s.Predict(n)
				fmt.Fprintf(w, "%s ± %s\t", page.Number(v, unit), page.Number(spread, unit))
			}
			fmt.Fprintln(w)
		}
	}
	if !found {
		return fmt.Errorf("%s: %w", f.File, errors.New("no such role or metric (--role, --metric)"))
	}
	return w.Flush()
}
