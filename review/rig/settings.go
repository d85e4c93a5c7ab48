package main

// class is a request class of the settings.
type class struct {
	name              string
	aimMs, deadlineMs float64
	effect, scope     string
	windowMs, worth   float64
}

// jawaClasses are the classes of the operators' deployment.
var jawaClasses = []class{
	{"slot-check", 250, 7500, "retryable", "all", 5000, 5},
	{"book-visit", 800, 15000, "dedup", "all", 25000, 5},
	{"visit-summary", 1200, 25000, "dedup", "cell", 40000, 3},
	{"send-reminder", 1000, 25000, "dedup", "zone", 40000, 2},
}

// settingsFor returns settings like those of the operators' deployment with the given classes.
func settingsFor(classes []class, change func(s object)) object {
	var profiles []object
	var kinds []int
	var priorities []int
	var stretches []float64
	for _, c := range classes {
		profiles = append(profiles, object{
			"name": c.name, "aimMs": c.aimMs, "deadlineMs": c.deadlineMs, "effect": c.effect, "dedupScope": c.scope,
			"repeatWindowMs": c.windowMs, "worth": c.worth, "lateValue": 0.0, "stream": false,
		})
		kinds, priorities, stretches = append(kinds, -1), append(priorities, 1), append(stretches, 2)
	}
	s := object{
		"az": "jakarta", "balancers": 1, "clients": object{"marksRetry": true}, "countedBy": "work", "discovery": "on_request",
		"family": "jobs",
		"familyInfo": object{
			"classKind": kinds, "classPriority": priorities, "classStretch": stretches, "memoryUnit": "a worker has one unit for each slot",
			"notes": "1 it has started, 2 share done", "progressMs": 1000.0, "queueOrder": "fifo", "reportX0": "free slots",
			"reportX1": "free memory", "tellsStart": true,
		},
		"hostTypes": []string{"std-4", "slow-5"},
		"limits": object{
			"cancelling": true, "connIdleMs": 60000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 1111535, "dialTimeoutMs": 150.0,
			"maxAttempts": 4, "maxOpen": 27788, "maxRetryAfterMs": 2000.0, "parallelTries": true, "peers": false, "probing": true,
			"retryAfter": true, "streamsPerConn": 1,
		},
		"loadReport": object{"fields": []string{"tps", "concurrent", "x0", "x1"}, "how": "pull"},
		"localities": []string{"jakarta", "surabaya"}, "me": 0,
		"obligations": object{
			"coldFrom": 0.13, "coldMs": 24000.0, "fallMultiple": 3.0, "graceToAnswerMs": 8.0, "mustAskInMs": 10000.0,
			"overloadForMs": 3000.0, "stopSendingWithinMs": 500.0,
		},
		"prices": object{
			"connection": 0.0, "crossZone": 0.029, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.08, "probe": 0.002, "waste": 0.04,
		},
		"profiles": profiles, "stepMs": 2.0, "tenants": []any{}, "tier": 0, "tiers": []string{"booking-workers"}, "weights": "rough",
	}
	if change != nil {
		change(s)
	}
	return s
}
