// Package settings parses the settings JSON of a node into balance.Settings and the layout of load reports. The simulator's
// adapter and the real node share it. form.go has the JSON form, parse.go parses it, complete.go checks the keys that a reload
// requires, and report.go parses load reports. Errors about a key are of type *KeyError.
package settings

import (
	"reflect"
	"slices"
	"time"

	"swiftdeal/balance"
)

// Settings holds the parsed settings: the part for package balance and the part for its host.
type Settings struct {
	Balance         balance.Settings
	ReportLayout    ReportLayout
	HasReports      bool          // answers to health checks carry load reports
	ConnIdleTimeout time.Duration // a connection idle for this long is closed; 0 if not given
	MaxOpenRequests int           // bound on open requests; 0 if not given
}

// ClassNames returns the names of the classes, in order.
func (s Settings) ClassNames() []string {
	names := make([]string, len(s.Balance.Classes))
	for i, c := range s.Balance.Classes {
		names[i] = c.Name
	}
	return names
}

// Merge returns the settings that are in effect once next replaces these, and the index by name of each class that new
// requests may use. Existing classes keep their indexes, so that open requests keep the class under which they were accepted:
// a dropped or changed class stays in the list, the new version of a changed class is appended, and a class that is the same
// as an earlier one gets that one's index again.
func (s Settings) Merge(next Settings) (Settings, map[string]int) {
	classes, byName := slices.Clone(s.Balance.Classes), map[string]int{}
	for _, c := range next.Balance.Classes {
		index := slices.Index(classes, c)
		if index < 0 {
			index = len(classes)
			classes = append(classes, c)
		}
		byName[c.Name] = index
	}
	next.Balance.Classes = classes
	return next, byName
}

// NeedsRestart reports whether the settings differ in values that cannot change while a node runs: the node's index, zone and
// number of balancers, the host's times, the layout of load reports and whether there are any, and the idle timeout of
// connections to workers.
func (s Settings) NeedsRestart(next Settings) bool {
	return s.fixed() != next.fixed() || !reflect.DeepEqual(s.ReportLayout, next.ReportLayout)
}

// fixedSettings holds the values that cannot change while a node runs, without the layout of reports, which is not comparable.
type fixedSettings struct {
	balancers, index                           int
	zone                                       string
	dialTimeout, minEventInterval, idleTimeout time.Duration
	hasReports                                 bool
}

func (s Settings) fixed() fixedSettings {
	return fixedSettings{
		balancers: s.Balance.Balancers, index: s.Balance.Index, zone: s.Balance.Zone, dialTimeout: s.Balance.DialTimeout,
		minEventInterval: s.Balance.MinEventInterval, idleTimeout: s.ConnIdleTimeout, hasReports: s.HasReports,
	}
}
