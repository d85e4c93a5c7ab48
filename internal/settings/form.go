package settings

import (
	"reflect"
	"strings"
)

// document is the JSON form of the settings: the keys that are read. Unknown keys are ignored.
type document struct {
	Zone       string `json:"az"`
	Balancers  int    `json:"balancers"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		ClassWorkerKind       []int     `json:"classKind"`
		ClassObjectiveStretch []float64 `json:"classStretch"`
		ProgressIntervalMs    float64   `json:"progressMs"`
		QueueOrder            string    `json:"queueOrder"`
		ReportX0              string    `json:"reportX0"`
		ReportX1              string    `json:"reportX1"`
		ReportsJobStart       bool      `json:"tellsStart"`
	} `json:"familyInfo"`
	WorkerKinds []string `json:"hostTypes"`
	Limits      struct {
		AllowCancel       bool    `json:"cancelling"`
		AllowHealthChecks bool    `json:"probing"`
		AllowHedging      bool    `json:"parallelTries"`
		RetryAfter        bool    `json:"retryAfter"`
		ConnIdleTimeoutMs float64 `json:"connIdleMs"`
		DialTimeoutMs     float64 `json:"dialTimeoutMs"`
		MaxRetryAfterMs   float64 `json:"maxRetryAfterMs"`
		MaxAttempts       int     `json:"maxAttempts"`
		MaxOpenRequests   int     `json:"maxOpen"`
	} `json:"limits"`
	LoadReport struct {
		Fields []string `json:"fields"`
		Mode   string   `json:"how"`
	} `json:"loadReport"`
	Obligations struct {
		SlowStartMinFactor float64 `json:"coldFrom"`
		SlowStartMs        float64 `json:"coldMs"`
		OverloadMultiple   float64 `json:"fallMultiple"`
		OverloadWindowMs   float64 `json:"overloadForMs"`
	} `json:"obligations"`
	Costs struct {
		CrossZone   float64 `json:"crossZone"`
		WastedWork  float64 `json:"waste"`
		LateFailure float64 `json:"lateFail"`
		HealthCheck float64 `json:"probe"`
	} `json:"prices"`
	Classes            []classDocument `json:"profiles"`
	Index              int             `json:"me"`
	MinEventIntervalMs float64         `json:"stepMs"`
}

// classDocument is the JSON form of a class.
type classDocument struct {
	LatencyObjectiveMs float64 `json:"aimMs"`
	ObjectiveStretch   float64 `json:"aimStretch"`
	DeadlineMs         float64 `json:"deadlineMs"`
	LateWeight         float64 `json:"lateValue"`
	KeyWindowMs        float64 `json:"repeatWindowMs"`
	PriorityWeight     float64 `json:"worth"`
	KeyScope           string  `json:"dedupScope"`
	Idempotency        string  `json:"effect"`
	Name               string  `json:"name"`
}

// DocumentType is the type that the settings JSON is decoded into; its fields are the keys that are read.
var DocumentType = reflect.TypeFor[document]()

// FieldByKey returns the field of a struct type that a JSON key is decoded into. Like encoding/json, it ignores case.
func FieldByKey(form reflect.Type, key string) (reflect.StructField, bool) {
	for i := range form.NumField() {
		name, _, _ := strings.Cut(form.Field(i).Tag.Get("json"), ",")
		if strings.EqualFold(name, key) {
			return form.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
