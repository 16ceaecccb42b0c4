package runner

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/schema"
)

// TestPlatformOddHealthAnswerEndsNodeService guards against a node that refuses all requests because its upstream answered a
// health check with an instance that can't be reported to the control hosts.
func TestPlatformOddHealthAnswerEndsNodeService(t *testing.T) {
	tests := []struct {
		name     string
		instance string
	}{
		{"not in UTF-8", "i-\xff\xfe"},
		{"too long", strings.Repeat("i", 4096)},
		{"needs escapes", "i 1/../2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startServingPlatformFleet(t)
			cfg := f.nodes[1].node.cfg
			if err := f.nodes[1].node.Kill(); err != nil {
				t.Fatal(err)
			}
			w := f.workers[1]
			w.mu.Lock()
			w.instance = tt.instance
			w.mu.Unlock()
			f.nodes[1] = f.start(&schema.Settings{TrustedNetwork: true, Node: cfg})
			waitUntil(t, "the restarted node serves requests", func() bool {
				return f.send(1, http.MethodGet, "/zero/x", "key-a", "restarted", "").status == http.StatusOK
			})
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if got := f.send(1, http.MethodGet, "/zero/x", "key-a", "odd", ""); got.status != http.StatusOK {
					t.Fatalf("status %d, error %v, %s; want 200", got.status, got.err, got.body)
				}
			}
			if up := f.nodes[1].node.announcer.Upstream("svc1"); up != nil {
				t.Errorf("the instance %.20q is registered", up.Instance)
			}
			f.replaceUpstream()
		})
	}
}
