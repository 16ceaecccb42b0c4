package forwarder

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
	"github.com/lavenderhub/lavenderhub/internal/exporter"
)

// TestAccountMetersAreBounded guards against metrics that grow with the number of client accounts, and against accounts
// that can't be told apart.
func TestAccountMetersAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	m := newMeters(registry)
	for i := range maxAccountMeters + 5 {
		m.accounts.of(fmt.Sprintf("a%d", i)).admitted.Inc(1)
	}
	m.accounts.of("a3").rateLimited.Inc(2)
	var out strings.Builder
	if err := exporter.Write(&out, registry, asserter.New(nil)); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`lavenderhub_accounts_admitted_total{account="a3"} 1`,
		`lavenderhub_accounts_rate_limited_total{account="a3"} 2`,
		`lavenderhub_accounts_admitted_total{account="other"} 5`,
	} {
		if !strings.Contains(out.String(), line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
	if n := strings.Count(out.String(), "accounts_admitted_total"); n > maxAccountMeters+1 {
		t.Errorf("%d counters of admissions, want at most %d", n, maxAccountMeters+1)
	}
}
