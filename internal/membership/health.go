package membership

// maxLocalHealth is the upper limit of the local health score.
const maxLocalHealth = 8

// localHealth is Lifeguard's local health score: 0 is healthy, higher
// values mean that this node seems to be slow or to lose packets. A higher score lengthens the probe timeout.
type localHealth int

// worsen raises the score, up to maxLocalHealth.
func (h *localHealth) worsen(by int) {
	*h = min(*h+localHealth(by), maxLocalHealth)
}

// improve lowers the score by one, down to 0.
func (h *localHealth) improve() {
	*h = max(*h-1, 0)
}
