package configversion

import (
	"slices"
	"time"

	"swiftdeal/internal/membership/codec"
)

// Limits on fetching and serving bodies.
const (
	chunkOverheadBytes = 80 // of a datagram's body, left for the other fields of the message
	chunkBytes         = codec.MaxBodyBytes - chunkOverheadBytes
	requestWindow      = 8   // chunks requested at once
	maxSources         = 8   // remembered per fetch
	maxFetches         = 4   // at once: of one version, and of bodies that the control plane is to decide on
	maxStaged          = 4   // bodies that wait for the control plane's decision
	maxChunksPerPeriod = 128 // sent to all nodes together
	retriesPerPeriod   = 4   // of an unanswered request

	stagedPeriods       = 40 // after which a staged body is dropped
	fetchTimeoutPeriods = 10 // without a chunk, after which a fetch is abandoned
)

// chunkQuota limits the chunks sent per period, since all other nodes may request chunks from this node at once. Nodes that get no
// answer request the chunks from another node.
type chunkQuota struct {
	sent    int
	resetAt time.Duration
}

func (q *chunkQuota) step(now, period time.Duration) {
	if now >= q.resetAt {
		q.sent = 0
		q.resetAt = now + period
	}
}

func (q *chunkQuota) take() bool {
	if q.sent >= maxChunksPerPeriod {
		return false
	}
	q.sent++
	return true
}

// stagedBody is a body without an ID, kept so that the control plane's leader can fetch it.
type stagedBody struct {
	checksum  Checksum
	body      []byte
	expiresAt time.Duration
}

// Stage keeps a body that the control plane is asked to decide on, so that its leader can fetch it. If there are too many, the
// oldest is dropped.
func (d *Distributor) Stage(now time.Duration, body []byte) Checksum {
	d.advance(now)
	checksum := ChecksumOf(body)
	d.staged = slices.DeleteFunc(d.staged, func(b stagedBody) bool { return b.checksum == checksum })
	if len(d.staged) >= maxStaged {
		d.staged = d.staged[1:]
	}
	d.staged = append(d.staged, stagedBody{checksum: checksum, body: body, expiresAt: d.now + stagedPeriods*d.config.Period})
	return checksum
}

// FindBody returns the body with a checksum; nil if this node does not have it.
func (d *Distributor) FindBody(checksum Checksum) []byte {
	if d.latest != nil && d.latestHeader.Checksum == checksum {
		return d.latest.Body
	}
	for _, staged := range d.staged {
		if staged.checksum == checksum {
			return staged.body
		}
	}
	return nil
}

// Fetch starts to fetch a body from the node that has staged it.
func (d *Distributor) Fetch(now time.Duration, checksum Checksum, size int, source string) {
	d.advance(now)
	if size <= 0 || size > MaxBodyBytes || d.FindBody(checksum) != nil || source == d.config.Name {
		return
	}
	d.startFetch(Header{Checksum: checksum, Size: size}, false, source)
	d.scheduleStep()
}

// fetch is the state of a body that is being fetched.
type fetch struct {
	header     Header
	forVersion bool // it is a version to install; otherwise it is a body for the control plane to decide on

	data     []byte
	received []bool // by chunk
	missing  int    // number of chunks

	sources       []string // nodes that have the body
	sourceIndex   int      // of the current source, modulo len(sources), since sources may have been removed
	contributors  []string // nodes that sent the chunks in data
	lastRequested int      // index of the last chunk requested

	retryAt   time.Duration // when to request from another source
	expiresAt time.Duration // when to abandon the fetch, unless a chunk arrives before
}

func newFetch(header Header, forVersion bool, source string) *fetch {
	chunks := (header.Size + chunkBytes - 1) / chunkBytes
	return &fetch{
		header: header, forVersion: forVersion, sources: []string{source},
		data: make([]byte, header.Size), received: make([]bool, chunks), missing: chunks,
	}
}

// addSource adds a node that has the body. If there are too many, the first is dropped, since it is the most likely to be gone.
func (f *fetch) addSource(source string) {
	if slices.Contains(f.sources, source) {
		return
	}
	if len(f.sources) >= maxSources {
		f.sources = f.sources[1:]
	}
	f.sources = append(f.sources, source)
}

func (f *fetch) source() string { return f.sources[f.sourceIndex%len(f.sources)] }

// nextWindow returns the indexes of the chunks to request next.
func (f *fetch) nextWindow() []uint32 {
	var indexes []uint32
	for i, received := range f.received {
		if !received && len(indexes) < requestWindow {
			indexes = append(indexes, uint32(i))
			f.lastRequested = i
		}
	}
	return indexes
}

// windowReceived reports whether all requested chunks have arrived.
func (f *fetch) windowReceived() bool { return slices.Index(f.received, false) > f.lastRequested }

// store stores a chunk and reports whether it was missing. Chunks that are invalid or known are ignored.
func (f *fetch) store(sender string, m chunk) bool {
	if m.index >= len(f.received) || f.received[m.index] {
		return false
	}
	start := m.index * chunkBytes
	if len(m.data) != min(chunkBytes, len(f.data)-start) {
		return false
	}
	copy(f.data[start:], m.data)
	if !slices.Contains(f.contributors, sender) {
		f.contributors = append(f.contributors, sender)
	}
	f.received[m.index] = true
	f.missing--
	return true
}

// restart discards all chunks of a body whose checksum does not match. If all chunks came from one node, that node is faulty and is
// removed from the sources. If they came from several, it is unknown whose chunk was wrong. The body is then fetched again, from a
// single node as long as that node answers.
func (f *fetch) restart(sender string) {
	clear(f.received)
	f.missing = len(f.received)
	if len(f.contributors) == 1 {
		f.sources = slices.DeleteFunc(f.sources, func(source string) bool { return source == sender })
	}
	f.contributors = nil
}

// startFetch starts to fetch a body, or adds the source to the fetch if that is in progress already.
func (d *Distributor) startFetch(header Header, forVersion bool, source string) {
	for _, fetch := range d.fetches {
		if fetch.header == header && fetch.forVersion == forVersion {
			fetch.addSource(source)
			return
		}
	}
	if forVersion {
		for _, fetch := range d.fetches {
			if fetch.forVersion && fetch.header.ID.Compare(header.ID) >= 0 {
				return
			}
		}
		d.fetches = slices.DeleteFunc(d.fetches, func(f *fetch) bool { return f.forVersion }) // of an earlier version
	} else if d.bodyFetches() >= maxFetches-1 { // the last one is reserved for a version; there is at most one such fetch
		return
	}
	fetch := newFetch(header, forVersion, source)
	fetch.expiresAt = d.now + fetchTimeoutPeriods*d.config.Period
	d.fetches = append(d.fetches, fetch)
	d.requestChunks(fetch, false)
}

func (d *Distributor) bodyFetches() int {
	n := 0
	for _, fetch := range d.fetches {
		if !fetch.forVersion {
			n++
		}
	}
	return n
}

// requestChunks requests missing chunks from the current source. If fromAnother is set, it first switches to a random other source,
// because the current one has not answered or has sent a wrong body.
func (d *Distributor) requestChunks(f *fetch, fromAnother bool) {
	if n := len(f.sources); fromAnother && n > 1 {
		f.sourceIndex = (f.sourceIndex%n + 1 + d.random.IntN(n-1)) % n
	}
	d.stats.ChunkRequests++
	f.retryAt = d.now + d.config.Period/retriesPerPeriod
	d.send(f.source(), chunkRequest{checksum: f.header.Checksum, indexes: f.nextWindow()})
}

// sendChunks sends the requested chunks of a body until the quota is used up.
func (d *Distributor) sendChunks(recipient string, m chunkRequest) {
	body := d.FindBody(m.checksum)
	for _, index := range m.indexes[:min(len(m.indexes), requestWindow)] {
		start := int(index) * chunkBytes
		if start >= len(body) || !d.quota.take() {
			return
		}
		d.stats.ChunksSent++
		data := body[start:min(start+chunkBytes, len(body))]
		d.send(recipient, chunk{checksum: m.checksum, index: int(index), data: data})
	}
}

// handleChunk stores a chunk. Chunks from nodes that are not a source of the fetch are ignored.
func (d *Distributor) handleChunk(sender string, m chunk) {
	i := slices.IndexFunc(d.fetches, func(f *fetch) bool {
		return f.header.Checksum == m.checksum && slices.Contains(f.sources, sender)
	})
	if i < 0 {
		return
	}
	f := d.fetches[i]
	if !f.store(sender, m) {
		return
	}
	d.stats.ChunksReceived++
	f.expiresAt = d.now + fetchTimeoutPeriods*d.config.Period
	switch {
	case f.missing > 0 && f.windowReceived():
		d.requestChunks(f, false)
	case f.missing > 0: // more chunks of the window are to arrive
	case ChecksumOf(f.data) != m.checksum:
		d.refetch(f, sender)
	default:
		d.complete(f)
	}
}

// refetch restarts a fetch, or removes it if no source is left.
func (d *Distributor) refetch(f *fetch, sender string) {
	d.stats.ChecksumMismatches++
	f.restart(sender)
	if len(f.sources) == 0 {
		d.removeFetch(f)
		return
	}
	d.requestChunks(f, true)
}

// complete installs a fetched version, or stages a body that was fetched for the control plane.
func (d *Distributor) complete(f *fetch) {
	d.removeFetch(f)
	d.stats.Fetched++
	if f.forVersion {
		d.install(&Version{ID: f.header.ID, Body: f.data})
		return
	}
	d.Stage(d.now, f.data)
}

func (d *Distributor) removeFetch(f *fetch) {
	d.fetches = slices.DeleteFunc(d.fetches, func(other *fetch) bool { return other == f })
}
