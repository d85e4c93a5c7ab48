package replica

import (
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/controlplane/configversion"
	"swiftdeal/internal/controlplane/rollout"
	"swiftdeal/internal/membership/codec"
)

// Host is the node that a Service runs in. All methods are called from the goroutine that owns membership and must not block.
type Host interface {
	State() codec.ServiceState // as announced by the node
	OutOfRotation() bool       // whether clients are sent to other nodes
	Idle() bool                // whether no request is in flight in the process
	Drain()                    // leave service
	Resume()                   // return to service
	SetSynced(synced bool)     // whether the node has received its assignment from the control plane

	// ApplySettings asks the node to apply a version of the fleet's settings atomically. This method and the next two are called only
	// if the fleet has managed settings.
	ApplySettings(version *configversion.Version)
	// TakeAppliedSettings returns and clears the outcomes of ApplySettings.
	TakeAppliedSettings() []AppliedSettings
	// SettingsKnown notifies the node that it now knows the fleet's settings.
	SettingsKnown()

	// RequestCounts returns the outcomes of client requests by class.
	RequestCounts() map[string]rollout.Count
	// WorkerStates returns the balancer's worker states, its free capacity by class, and the time of its clock. It is called only if
	// the node may be a replica. All results are zero until the balancer's state is known.
	WorkerStates() (workers map[string]balance.WorkerState, freeCapacity map[string]int, now time.Duration)
}

// AppliedSettings is the outcome of applying a version of the fleet's settings on a node.
type AppliedSettings struct {
	ID           configversion.ID
	RejectReason string // empty if the version is active
}
