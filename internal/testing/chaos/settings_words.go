package chaos

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
)

// settingsPlan returns a plan with settings for the whole fleet and no faults: each scenario's check performs its steps one after
// the other, while jobs are submitted.
func settingsPlan(nodes, sites int) Plan {
	return modifyPlan(basePlan(nodes, sites), func(p *Plan) {
		addLoad(p)
		p.Replicas, p.Budget, p.Settings, p.Rate, p.LengthMs, p.LoadMs = 3, 1, true, 20, 300, 180_000
	})
}

// settingsJSON returns settings with the classes of all nodes' files and extra ones.
func settingsJSON(extra ...class) string {
	var list []map[string]any
	for _, c := range slices.Concat(classes, extra) {
		list = append(list, c.settingsProfile())
	}
	text, err := json.Marshal(map[string]any{"profiles": list})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// walkInClass returns the class walkIn, which only the fleet's settings define, with the given deadline in ms.
func walkInClass(deadline float64) class {
	return class{walkIn, "retryable", "", min(deadline, 200), deadline, 0, 5, 0}
}

// extraClass returns a further class, which makes settings differ from each other.
func extraClass(i int) class {
	return class{fmt.Sprintf("other-%d", i), "retryable", "", 500, 20000, 0, 5, 0}
}

// longSettings returns settings whose compressed body needs several datagrams.
func longSettings(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 23))
	list := []class{walkInClass(20000)}
	for range 150 {
		c := extraClass(0)
		c.name = fmt.Sprintf("c%016x%016x", r.Uint64(), r.Uint64())
		list = append(list, c)
	}
	return settingsJSON(list...)
}

// addStaleClasses changes the settings of a node's file to those from before the fleet's settings: walkIn with another deadline,
// and a class that only this file has.
func addStaleClasses(s map[string]any) {
	s["profiles"] = append(s["profiles"].([]map[string]any), walkInClass(250).settingsProfile(), extraClass(99).settingsProfile())
}
