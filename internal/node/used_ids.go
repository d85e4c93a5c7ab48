package node

import (
	"time"

	"swiftdeal/internal/admission"
	"swiftdeal/internal/handover"
)

// maxUsedIDBytes bounds the IDs that are passed to a successor, which are part of one message.
const maxUsedIDBytes = 512 << 10

// exportUsedIDs returns the IDs whose requests may have run in this process, the open ones first, as far as a message has room.
func (n *Node) exportUsedIDs() []handover.UsedID {
	var list []handover.UsedID
	size := 0
	for _, used := range n.admission.UsedIDs() {
		if size += len(used.ID); size > maxUsedIDBytes {
			break
		}
		list = append(list, handover.UsedID{ID: used.ID, Age: time.Since(used.Since), Open: used.Open})
	}
	return list
}

// importUsedIDs remembers the IDs whose requests may have run in the process before.
func (n *Node) importUsedIDs(list []handover.UsedID) {
	imported := make([]admission.UsedID, len(list))
	for i, used := range list {
		imported[i] = admission.UsedID{ID: used.ID, Since: time.Now().Add(-used.Age), Open: used.Open}
	}
	n.admission.ImportUsedIDs(imported)
}
