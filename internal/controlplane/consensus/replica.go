package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// Replica is one node's participant in a group of voters. It is not safe for concurrent use.
type Replica struct {
	config  Config
	machine StateMachine
	random  *rand.Rand
	id      uint64 // voter ID of this instance

	clock         tickClock
	group         groupState
	raft          raftInstance
	election      electionTimer
	peers         peerTable
	chunks        chunkTransfers
	proposals     proposalTable
	requestedSwap *voterSwap // by an operator; nil: none
	out           output
	stats         Stats
}

// tickClock derives Raft's ticks from the host's clock.
type tickClock struct {
	interval   time.Duration
	now        time.Duration
	nextTickAt time.Duration
	ticks      int
}

func (c *tickClock) advance(now time.Duration) { c.now = max(c.now, now) }

func (c *tickClock) isDue() bool { return c.now >= c.nextTickAt }

// hasStalled reports whether a tick is so late that the process itself must have been stalled.
func (c *tickClock) hasStalled() bool { return c.now-c.nextTickAt > stallTicks*c.interval }

func (c *tickClock) schedule() {
	if c.nextTickAt <= c.now {
		c.nextTickAt = c.now + c.interval
	}
}

// electionTimer counts the ticks until this replica calls an election.
type electionTimer struct {
	elapsed                   int // ticks since the last message of a leader or this replica's last call for an election
	timeout                   int // ticks; drawn again for each election
	ticksWithoutLeader        int
	leaderlessTicksAtElection int // ticksWithoutLeader when this replica was last elected
}

// leaderContact records a message from the leader.
func (t *electionTimer) leaderContact() {
	t.elapsed = 0
	t.ticksWithoutLeader = 0
}

// deferToCandidate postpones this replica's own election by half of electionTicks, so that a candidate has time to win.
func (t *electionTimer) deferToCandidate() { t.elapsed = max(0, t.elapsed-electionTicks/2) }

// elected records that this replica was elected.
func (t *electionTimer) elected() {
	t.leaderlessTicksAtElection = t.ticksWithoutLeader
	t.ticksWithoutLeader = 0
}

// proposalTable maps the nonces of this replica's proposals to their IDs.
type proposalTable struct {
	lastID  uint64
	byNonce map[uint64]uint64
}

// add records the ID of a proposal.
func (t *proposalTable) add(nonce, id uint64) { t.byNonce[nonce] = id }

// take removes an executed proposal and returns its ID; 0 if another replica has proposed it.
func (t *proposalTable) take(nonce uint64) uint64 {
	id := t.byNonce[nonce]
	delete(t.byNonce, nonce)
	return id
}

// reset drops all proposals under way. IDs are not reused.
func (t *proposalTable) reset() { t.byNonce = map[uint64]uint64{} }

// New returns a node's replica. It starts in the group of Config.Persisted, or in none. New fails if Persisted is inconsistent.
func New(config Config, machine StateMachine, random *rand.Rand, now time.Duration) (*Replica, error) {
	if config.SnapshotEntries == 0 {
		config.SnapshotEntries = defaultSnapshotEntries
	}
	config.Replicas = slices.Sorted(slices.Values(config.Replicas))
	config.Standbys = slices.Clone(config.Standbys)
	r := &Replica{
		config: config, machine: machine, random: random, id: config.ID,
		clock: tickClock{interval: config.TickInterval, now: now, nextTickAt: now},
		peers: newPeerTable(),
	}
	r.proposals.reset()
	if persisted := config.Persisted; persisted != nil && !persisted.Group.IsZero() {
		r.id = persisted.ID
		if err := r.startRaft(persisted.Group, startPersisted{persisted}); err != nil {
			return nil, err
		}
	}
	r.clock.schedule()
	return r, nil
}

// NextStepAt returns the latest time for the next call of Step.
func (r *Replica) NextStepAt() time.Duration { return r.clock.nextTickAt }

// VoterID returns the voter ID of this instance.
func (r *Replica) VoterID() uint64 { return r.id }

// Stats returns totals since the replica was created.
func (r *Replica) Stats() Stats { return r.stats }

func (r *Replica) self() Voter { return Voter{Node: r.config.Name, ID: r.id} }

// randomNonZero draws a random number that is not 0.
func (r *Replica) randomNonZero() uint64 { return r.random.Uint64() | 1 }

// Step runs the tick that is due, if any. It may be called at any time, and must be called by NextStepAt.
func (r *Replica) Step(now time.Duration) {
	r.clock.advance(now)
	if r.clock.isDue() {
		if r.clock.hasStalled() {
			// Restart the election timeout: messages of a leader that is alive may still be unread.
			r.clock.nextTickAt = r.clock.now
			r.election.elapsed = 0
		}
		r.clock.nextTickAt += r.config.TickInterval
		r.tick()
	}
	r.processReady()
	r.clock.schedule()
}

func (r *Replica) tick() {
	r.clock.ticks++
	if r.clock.ticks%helloTicks == 0 {
		r.sendHellos()
	}
	r.resendChunks()
	switch {
	case r.raft.node == nil:
		r.foundGroup()
	case r.raft.node.BasicStatus().RaftState == raft.StateLeader:
		r.tickAsLeader()
	default:
		r.tickAsFollower()
	}
}

func (r *Replica) tickAsLeader() {
	r.raft.node.Tick()
	r.election.ticksWithoutLeader = 0
	r.raiseEpoch()
	r.replaceVoters()
	r.compactLog()
}

func (r *Replica) tickAsFollower() {
	r.raft.node.TickQuiesced() // the library draws election timeouts from a global random source, so elections are called below
	r.compactLog()
	r.election.ticksWithoutLeader++
	r.election.elapsed++
	if r.election.elapsed >= r.election.timeout {
		r.election.elapsed = 0
		r.election.timeout = electionTicks + r.random.IntN(electionTicks)
		if r.raft.isVoter(r.id) {
			r.stats.Elections++
			r.raft.node.Campaign()
		}
	}
	r.discardIfMajorityLost()
}
