package runner

import (
	"net/http"
	"testing"
)

// TestPlatformOddRequestIDRefusedByOtherNodes guards against requests that only the node beside the upstream can pass on, because
// their ID is not in UTF-8.
func TestPlatformOddRequestIDRefusedByOtherNodes(t *testing.T) {
	f := startServingPlatformFleet(t)
	for node := range f.nodes {
		const id = "id-\xff\xfe"
		got := f.send(node, http.MethodGet, "/one/open/x", "", id, "")
		if ran := f.workers[1].runCount(id); got.status != http.StatusOK || ran != node+1 {
			t.Errorf("through node %d: status %d, error %v, %s, ran %d times; want 200, %d", node, got.status, got.err, got.body, ran, node+1)
		}
	}
}
