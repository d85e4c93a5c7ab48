package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/settings"
)

// Bounds and defaults of the values in a fleet file.
const (
	// MaxNameBytes bounds the names of members, sites and fleets, in bytes.
	MaxNameBytes = 64

	minPeriodMs, maxPeriodMs, defaultPeriodMs                = 50, 60_000, 1000
	minMembers, maxMembers, defaultMembers                   = 2, 4096, 1024
	minForgetSeconds, maxForgetSeconds, defaultForgetSeconds = 10, 7 * 86400, 3600
	maxReadyTimeoutMs, defaultReadyTimeoutMs                 = 30_000, 2000
	minReplaceSeconds, maxReplaceSeconds                     = 5, 7 * 86400
	maxStandbys                                              = 16
	maxBudget                                                = 4096
	maxBudgetOverrides                                       = 32
)

// fleetFile is the TOML form of the fleet file.
type fleetFile struct {
	Fleet struct {
		Name string `toml:"name"`
	} `toml:"fleet"`
	Member struct {
		Name      string `toml:"name"`
		Site      string `toml:"site"`
		Listen    string `toml:"listen"`
		Advertise string `toml:"advertise"`
	} `toml:"member"`
	View struct {
		Seeds               []string `toml:"seeds"`
		Allow               []string `toml:"allow"`
		PeriodMs            int64    `toml:"period_ms"`
		MaxMembers          int      `toml:"most_members"`
		ForgetAfterS        int64    `toml:"forget_s"`
		BelieveObservations *bool    `toml:"facts"`
	} `toml:"view"`
	ControlPlane *controlPlaneTable `toml:"council"`
	Budget       *budgetTable       `toml:"budget"`
	Settings     *settingsTable     `toml:"settings"`
}

// settingsTable is the [settings] table: the fleet's settings.
type settingsTable struct {
	ReadyTimeoutMs *int64 `toml:"wait_ms"`
}

// controlPlaneTable is the [council] table: the control plane.
type controlPlaneTable struct {
	Replicas            []string `toml:"seats"`
	Standbys            []string `toml:"spares"`
	ReplaceAfterSeconds int64    `toml:"absent_s"`
	DataDir             string   `toml:"dir"`
}

// budgetTable is the [budget] table: disruption budgets. A budget per site, version or kind that is left out is the fleet's.
type budgetTable struct {
	Nodes           int            `toml:"nodes"`
	NodesPerSite    *int           `toml:"nodes_site"`
	NodesPerVersion *int           `toml:"nodes_version"`
	Workers         int            `toml:"workers"`
	WorkersPerSite  *int           `toml:"workers_site"`
	WorkersPerKind  *int           `toml:"workers_kind"`
	MaxOvertakes    int            `toml:"overtakes"`
	MinFreeCapacity map[string]int `toml:"room"`
	SiteOverrides   map[string]int `toml:"sites"`
	KindOverrides   map[string]int `toml:"kinds"`
}

// LoadFleet reads and validates the file that `serve --fleet` names. Errors name the file, the line and the key.
func LoadFleet(path string, open func(string) ([]byte, error)) (*Fleet, error) {
	text, err := open(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	var f fleetFile
	if err := decodeStrict(path, text, &f); err != nil {
		return nil, err
	}
	fleet, err := f.toFleet()
	if err != nil {
		return nil, locateKey(path, text, err)
	}
	return fleet, nil
}

// toFleet validates the file and converts it to a Fleet. Errors are of type *settings.KeyError.
func (f *fleetFile) toFleet() (fleet *Fleet, err error) {
	fleet = &Fleet{Name: f.Fleet.Name, MemberName: f.Member.Name, Site: f.Member.Site}
	if err := fleet.checkNames(); err != nil {
		return nil, err
	}
	if err := f.setAddresses(fleet); err != nil {
		return nil, err
	}
	if err := f.setMembership(fleet); err != nil {
		return nil, err
	}
	if fleet.ControlPlane, err = f.toControlPlane(); err != nil {
		return nil, err
	}
	if fleet.Settings, err = f.toFleetSettings(); err != nil {
		return nil, err
	}
	return fleet, nil
}

// checkNames checks that the fleet has a name, and the lengths of the names of the fleet, the member and its site.
func (fleet *Fleet) checkNames() error {
	if fleet.Name == "" {
		return keyError("fleet.name", settings.ErrMissing)
	}
	for _, n := range []struct{ key, value string }{
		{"fleet.name", fleet.Name}, {"member.name", fleet.MemberName}, {"member.site", fleet.Site},
	} {
		if len(n.value) > MaxNameBytes {
			return keyError(n.key, fmt.Errorf("longer than %d bytes", MaxNameBytes))
		}
	}
	return nil
}

// setAddresses sets the addresses at which the member listens and is reached, the seeds, and the allowed sources.
func (f *fleetFile) setAddresses(fleet *Fleet) (err error) {
	if fleet.Listen, err = parseAddrPort(f.Member.Listen, false); err != nil {
		return keyError("member.listen", err)
	}
	advertise := f.Member.Advertise
	if advertise == "" {
		advertise = fleet.Listen
	}
	if fleet.Advertise, err = parseAddrPort(advertise, true); err != nil {
		return keyError("member.advertise", err)
	}
	for i, seed := range f.View.Seeds {
		address, err := parseAddrPort(seed, true)
		if err != nil {
			return keyError("view.seeds", fmt.Errorf("[%d]: %w", i, err))
		}
		fleet.Seeds = append(fleet.Seeds, address)
	}
	for i, allow := range f.View.Allow {
		prefix, err := netip.ParsePrefix(allow)
		if err != nil {
			return keyError("view.allow", fmt.Errorf("[%d]: %w", i, err))
		}
		fleet.Allow = append(fleet.Allow, prefix.Masked())
	}
	return nil
}

// setMembership sets the values of the [view] table, or their defaults.
func (f *fleetFile) setMembership(fleet *Fleet) error {
	period := orDefault(f.View.PeriodMs, defaultPeriodMs)
	if err := checkRange("view.period_ms", period, minPeriodMs, maxPeriodMs); err != nil {
		return err
	}
	members := orDefault(int64(f.View.MaxMembers), defaultMembers)
	if err := checkRange("view.most_members", members, minMembers, maxMembers); err != nil {
		return err
	}
	forget := orDefault(f.View.ForgetAfterS, defaultForgetSeconds)
	if err := checkRange("view.forget_s", forget, minForgetSeconds, maxForgetSeconds); err != nil {
		return err
	}
	fleet.Period = time.Duration(period) * time.Millisecond
	fleet.MaxMembers = int(members)
	fleet.ForgetAfter = time.Duration(forget) * time.Second
	fleet.BelieveObservations = f.View.BelieveObservations != nil && *f.View.BelieveObservations
	return nil
}

// orDefault returns value, or defaultValue if value is zero, which means not set.
func orDefault(value, defaultValue int64) int64 {
	if value == 0 {
		return defaultValue
	}
	return value
}

// toFleetSettings converts the [settings] table; it returns nil if there is none.
func (f *fleetFile) toFleetSettings() (*FleetSettings, error) {
	if f.Settings == nil {
		return nil, nil
	}
	if f.ControlPlane == nil {
		return nil, keyError("settings", errors.New("needs [council], the control plane that distributes them"))
	}
	timeout := int64(defaultReadyTimeoutMs)
	if f.Settings.ReadyTimeoutMs != nil {
		timeout = *f.Settings.ReadyTimeoutMs
	}
	if err := checkRange("settings.wait_ms", timeout, 0, maxReadyTimeoutMs); err != nil {
		return nil, err
	}
	return &FleetSettings{ReadyTimeout: time.Duration(timeout) * time.Millisecond}, nil
}

// toControlPlane converts the [council] and [budget] tables; it returns nil if there are none.
func (f *fleetFile) toControlPlane() (*ControlPlane, error) {
	table := f.ControlPlane
	if table == nil {
		if f.Budget != nil {
			return nil, keyError("council.seats", fmt.Errorf("%w: a budget needs a council", settings.ErrMissing))
		}
		return nil, nil
	}
	if err := table.check(); err != nil {
		return nil, err
	}
	budget := f.Budget
	if budget == nil {
		budget = &budgetTable{}
	}
	budgets := budget.toBudgets()
	if err := checkBudgets(budgets); err != nil {
		return nil, err
	}
	return &ControlPlane{
		Replicas: table.Replicas, Standbys: table.Standbys, DataDir: table.DataDir, Budgets: budgets,
		ReplaceAfter: time.Duration(table.ReplaceAfterSeconds) * time.Second,
	}, nil
}

// check validates the lists of replicas and standbys, and the time after which a replica is replaced.
func (t *controlPlaneTable) check() error {
	if n := len(t.Replicas); n != 3 && n != 5 && n != 7 {
		return keyError("council.seats", fmt.Errorf("%d nodes, not 3, 5 or 7", n))
	}
	seen := map[string]bool{}
	for _, list := range []struct {
		key   string
		nodes []string
	}{{"council.seats", t.Replicas}, {"council.spares", t.Standbys}} {
		for i, node := range list.nodes {
			if node == "" || len(node) > MaxNameBytes || seen[node] {
				return keyError(list.key, fmt.Errorf("[%d]: %q is empty, too long or named twice", i, node))
			}
			seen[node] = true
		}
	}
	if len(t.Standbys) > maxStandbys {
		return keyError("council.spares", fmt.Errorf("more than %d nodes", maxStandbys))
	}
	after := t.ReplaceAfterSeconds
	if after != 0 && (after < minReplaceSeconds || after > maxReplaceSeconds) {
		return keyError("council.absent_s",
			fmt.Errorf("%d is out of range, %d to %d, or 0 for never", after, minReplaceSeconds, maxReplaceSeconds))
	}
	return nil
}

// toBudgets converts the table, with defaults for the values that it leaves out.
func (t *budgetTable) toBudgets() disruption.Budgets {
	valueOr := func(value *int, defaultValue int) int {
		if value == nil {
			return defaultValue
		}
		return *value
	}
	return disruption.Budgets{
		Nodes:           t.Nodes,
		NodesPerSite:    valueOr(t.NodesPerSite, t.Nodes),
		NodesPerVersion: valueOr(t.NodesPerVersion, t.Nodes),
		Workers:         t.Workers,
		WorkersPerSite:  valueOr(t.WorkersPerSite, t.Workers),
		WorkersPerKind:  valueOr(t.WorkersPerKind, t.Workers),
		MaxOvertakes:    t.MaxOvertakes,
		MinFreeCapacity: t.MinFreeCapacity,
		SiteOverrides:   t.SiteOverrides,
		KindOverrides:   t.KindOverrides,
	}
}

// checkBudgets checks the ranges of the budgets, and the number of overrides and the lengths of their names.
func checkBudgets(b disruption.Budgets) error {
	for _, n := range []struct {
		key   string
		value int
	}{
		{"budget.nodes", b.Nodes},
		{"budget.nodes_site", b.NodesPerSite},
		{"budget.nodes_version", b.NodesPerVersion},
		{"budget.workers", b.Workers},
		{"budget.workers_site", b.WorkersPerSite},
		{"budget.workers_kind", b.WorkersPerKind},
		{"budget.overtakes", b.MaxOvertakes},
	} {
		if err := checkRange(n.key, int64(n.value), 0, maxBudget); err != nil {
			return err
		}
	}
	for _, list := range []struct {
		key    string
		values map[string]int
	}{{"budget.room", b.MinFreeCapacity}, {"budget.sites", b.SiteOverrides}, {"budget.kinds", b.KindOverrides}} {
		for _, name := range slices.Sorted(maps.Keys(list.values)) {
			value := list.values[name]
			if value < 0 || len(list.values) > maxBudgetOverrides || len(name) > MaxNameBytes {
				return keyError(list.key+"."+name,
					fmt.Errorf("%d is negative, there are more than %d entries, or the name is too long", value, maxBudgetOverrides))
			}
		}
	}
	return nil
}

// parseAddrPort parses an IP and port and returns them in canonical form. Host names, which would have to be resolved, are
// rejected. If specific, the unspecified IP is rejected too, because no node can be reached at it: the
// address is the one that this node advertises or a seed's.
func parseAddrPort(text string, specific bool) (string, error) {
	if text == "" {
		return "", settings.ErrMissing
	}
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil || address.Port() == 0:
		return "", fmt.Errorf("%q is not an IP with a port", text)
	case specific && address.Addr().IsUnspecified():
		return "", fmt.Errorf("%q has an unspecified IP, at which no node can be reached", text)
	}
	return address.String(), nil
}
