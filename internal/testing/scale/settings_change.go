package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// founded has the first change made, which is not measured: a council that has decided on no settings yet waits until it has heard
// what nodes hold of an earlier group's.
func (f *cluster) founded() error {
	for end := time.Now().Add(f.options.Settle); ; {
		_, err := f.revise(0)
		if err == nil || time.Now().After(end) {
			return err
		}
		if err := f.pause(time.Second, "waits for the council to take a first change"); err != nil {
			return err
		}
	}
}

// revise asks a real node for a change of the fleet's settings, as `swiftdeal fleet settings set` does, and waits until every node has
// it in force.
func (f *cluster) revise(number int) (change, error) {
	begin := time.Now()
	version, size, err := f.requestRevision(number, &begin)
	if err != nil {
		return change{}, err
	}
	s := &spreading{
		cluster: f, begin: begin, version: version, left: map[int]bool{},
		change: change{files: 1, bytes: size, force: map[string][]float64{}},
	}
	for i := range f.plan.Members {
		s.left[i] = true
	}
	for {
		if err := s.look(); err != nil {
			return s.change, err
		}
		if len(s.left) == 0 {
			return s.change, nil
		}
		if time.Since(begin) > f.options.Settle {
			return s.change, fmt.Errorf("%d of %d members do not have revision %d of the fleet's settings in force after %v",
				len(s.left), f.plan.Members, version, f.options.Settle)
		}
		timer := time.NewTimer(20 * time.Millisecond)
		select {
		case <-f.ctx.Done():
			timer.Stop()
			return s.change, f.ctx.Err()
		case <-timer.C:
		}
	}
}

// requestRevision has a real node ask the control plane for a change in the place of the latest revision. It returns the new revision's
// number and the bytes that were asked for; begin is set to when that was.
func (f *cluster) requestRevision(number int, begin *time.Time) (version uint64, size int, err error) {
	node := f.nodes[number%len(f.nodes)].member
	url := "http://" + f.addresses.member(node, controlPort) + "/-/fleet/settings"
	client := http.Client{Timeout: f.options.Settle}
	var now struct {
		Report struct {
			Latest string `json:"latest"`
		} `json:"report"`
	}
	response, err := client.Get(url)
	if err := decodeResponse(url, response, err, &now); err != nil {
		return 0, 0, err
	}
	body, err := json.Marshal(map[string]any{
		"op": "set", "settings": f.plan.overlay(number), "base": now.Report.Latest, "by": "scale run", "why": "a change",
	})
	if err != nil {
		return 0, 0, err
	}
	*begin = time.Now()
	var done struct {
		OK   bool   `json:"ok"`
		No   uint64 `json:"no"`
		Text string `json:"text"`
	}
	response, err = client.Post(url, "application/json", bytes.NewReader(body))
	if err := decodeResponse(url, response, err, &done); err != nil {
		return 0, 0, err
	}
	if !done.OK {
		return 0, 0, fmt.Errorf("%s: %s", url, done.Text)
	}
	return done.No, len(body), nil
}

// decodeResponse reads the JSON of a response that has come with 200, or returns why there is none.
func decodeResponse(url string, response *http.Response, err error, into any) error {
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// spreading is a revision of the fleet's settings on its way to all members.
type spreading struct {
	cluster *cluster
	begin   time.Time
	version uint64
	left    map[int]bool // members that do not have it in force yet
	change  change
}

// look asks those that do not have the revision yet whether they do.
func (s *spreading) look() error {
	for _, r := range s.cluster.nodes {
		if !s.left[r.member] {
			continue
		}
		m, err := r.metrics()
		if err != nil {
			return err
		}
		if m["gw_settings_revision"] >= float64(s.version) {
			s.inForce(r.member, time.Now()) // seen then: it may be so a round earlier
		}
	}
	for g, members := range s.cluster.members {
		if !slices.ContainsFunc(members, func(i int) bool { return s.left[i] }) {
			continue
		}
		r, err := s.cluster.children[g].do(Command{Action: "force"})
		if err != nil {
			return err
		}
		for _, n := range r.InForce {
			if n.Version >= s.version {
				s.inForce(n.Member, time.Unix(0, n.At))
			}
		}
	}
	return nil
}

// inForce notes since when a member has the revision in force.
func (s *spreading) inForce(member int, at time.Time) {
	if !s.left[member] {
		return
	}
	delete(s.left, member)
	seconds := at.Sub(s.begin).Seconds()
	role := s.cluster.plan.role(member)
	s.change.force[role] = append(s.change.force[role], seconds)
	s.change.seconds = max(s.change.seconds, seconds)
}
