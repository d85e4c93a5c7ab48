package config

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fleet is what a node is told of its fleet. A node that is told nothing has no part in one: it opens no socket for it,
// starts nothing and sends nothing.
type Fleet struct {
	Name      string         // of the fleet; datagrams of another one are dropped
	Member    string         // of this node in it; empty: the node's name
	Site      string         // where it runs
	Listen    string         // IP and port for datagrams
	Advertise string         // where others reach that
	Seeds     []string       // IPs and ports of other nodes
	Allow     []netip.Prefix // whose datagrams are read; empty: anybody's
	Period    time.Duration  // between two probes
	Most      int            // members held
	Forget    time.Duration  // the dead are remembered for so long
	Facts     bool           // restarts of workers that others tell of are believed
}

// fleetFile mirrors the TOML.
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
		Seeds       []string `toml:"seeds"`
		Allow       []string `toml:"allow"`
		PeriodMs    int64    `toml:"period_ms"`
		MostMembers int      `toml:"most_members"`
		ForgetS     int64    `toml:"forget_s"`
		Facts       *bool    `toml:"facts"`
	} `toml:"view"`
}

// LoadFleet reads the file that `serve --fleet` names. Errors name the file, the line and the key.
func LoadFleet(path string, open func(string) ([]byte, error)) (*Fleet, error) {
	text, err := open(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	var f fleetFile
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		var at *toml.DecodeError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			row, column := strict.Errors[0].Position()
			return nil, fmt.Errorf("%s:%d:%d: %s: no such key", path, row, column, strings.Join(strict.Errors[0].Key(), "."))
		} else if errors.As(err, &at) {
			row, column := at.Position()
			return nil, fmt.Errorf("%s:%d:%d: %s%w", path, row, column, prefix(at.Key()), err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c, key, err := f.check()
	if err != nil {
		if line := lineOf(text, key); line > 0 {
			return nil, fmt.Errorf("%s:%d: %s: %w", path, line, key, err)
		}
		return nil, fmt.Errorf("%s: %s: %w", path, key, err)
	}
	return c, nil
}

func prefix(key toml.Key) string {
	if len(key) == 0 {
		return ""
	}
	return strings.Join(key, ".") + ": "
}

// lineOf finds where a key stands, by its dotted path; 0 if it is not there.
func lineOf(text []byte, key string) int {
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
		}
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = strings.Join(parts, ".") + "."
		case unstable.KeyValue:
			if table+strings.Join(parts, ".") == key {
				return line
			}
		}
	}
	return 0
}

// MostMemberName is how long a member's name, its site's and its fleet's may be, in bytes.
const MostMemberName = 64

// check turns the file into a Fleet, or names the key that cannot be right.
func (f *fleetFile) check() (c *Fleet, key string, err error) {
	c = &Fleet{Name: f.Fleet.Name, Member: f.Member.Name, Site: f.Member.Site, Listen: f.Member.Listen, Advertise: f.Member.Advertise,
		Period: time.Duration(f.View.PeriodMs) * time.Millisecond, Most: f.View.MostMembers, Forget: time.Duration(f.View.ForgetS) * time.Second,
		Facts: f.View.Facts != nil && *f.View.Facts}
	for _, n := range []struct{ key, value string }{{"fleet.name", c.Name}, {"member.name", c.Member}, {"member.site", c.Site}} {
		if n.value == "" && n.key == "fleet.name" {
			return nil, n.key, errors.New("missing")
		}
		if len(n.value) > MostMemberName {
			return nil, n.key, fmt.Errorf("longer than %d bytes", MostMemberName)
		}
	}
	if c.Listen, err = ipPort(c.Listen, false); err != nil {
		return nil, "member.listen", err
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	if c.Advertise, err = ipPort(c.Advertise, true); err != nil {
		return nil, "member.advertise", err
	}
	for i, s := range f.View.Seeds {
		if s, err = ipPort(s, true); err != nil {
			return nil, "view.seeds", fmt.Errorf("[%d]: %w", i, err)
		}
		c.Seeds = append(c.Seeds, s)
	}
	for i, s := range f.View.Allow {
		p, err := netip.ParsePrefix(s)
		if err != nil {
			return nil, "view.allow", fmt.Errorf("[%d]: %w", i, err)
		}
		c.Allow = append(c.Allow, p.Masked())
	}
	for _, n := range []struct {
		key         string
		value       int64
		least, most int64
		set         func(int64)
		otherwise   int64
	}{
		{"view.period_ms", f.View.PeriodMs, 50, 60_000, func(v int64) { c.Period = time.Duration(v) * time.Millisecond }, 1000},
		{"view.most_members", int64(f.View.MostMembers), 2, 4096, func(v int64) { c.Most = int(v) }, 1024},
		{"view.forget_s", f.View.ForgetS, 10, 7 * 86400, func(v int64) { c.Forget = time.Duration(v) * time.Second }, 3600},
	} {
		if n.value == 0 {
			n.value = n.otherwise
		}
		if n.value < n.least || n.value > n.most {
			return nil, n.key, fmt.Errorf("%d is out of range, %d to %d", n.value, n.least, n.most)
		}
		n.set(n.value)
	}
	return c, "", nil
}

// ipPort checks an IP and port, without names that would have to be looked up, and returns them in one form.
func ipPort(s string, specific bool) (string, error) {
	if s == "" {
		return "", errors.New("missing")
	}
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil || a.Port() == 0:
		return "", fmt.Errorf("%q is not an IP with a port", s)
	case specific && a.Addr().IsUnspecified():
		return "", fmt.Errorf("%q is no address at which others reach this node", s)
	}
	return a.String(), nil
}
