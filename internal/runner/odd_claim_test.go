package runner

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestOddResponseHeaderLeavesOrderInProgress guards against orders that ran and are answered 409 inProgress from then on, because
// their response has a header that is not in UTF-8.
func TestOddResponseHeaderLeavesOrderInProgress(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	const name = "Caf\xe9"
	replaceResponder(t, f, "back", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Name", name)
		fmt.Fprint(w, "ordered")
	}, nil)
	order := func(w *FleetWorker) response {
		return send(t.Context(), w, f.Keys[0].Key, http.MethodPost, "/back/order", "40", "Idempotency-Key", "deposit-1")
	}
	if r := order(f.Workers[0]); r.status != http.StatusOK || r.header.Get("X-Name") != name {
		t.Fatalf("the order: %d %v %q", r.status, r.err, r.header.Get("X-Name"))
	}
	for i, w := range f.Workers {
		r := order(w)
		isSame := r.body == "ordered" && r.header.Get("X-Name") == name
		if r.status != http.StatusOK || !isSame || r.header.Get("Lavenderhub-Outcome") != "alreadyRun" {
			t.Errorf("sent again through node %d: %d %v %s", i, r.status, r.err, r.body)
		}
	}
}

// TestOddIdempotencyKeyHangs guards against requests that are held until their deadline because their Idempotency-Key can't be
// reported to the control hosts.
func TestOddIdempotencyKeyHangs(t *testing.T) {
	f := startFleet(t, twoServiceFleet())
	begin := time.Now()
	r := send(t.Context(), f.Workers[0], f.Keys[0].Key, http.MethodPost, "/back/order?id=odd", "40", "Idempotency-Key", "deposit-\xff")
	if r.status != http.StatusBadRequest || time.Since(begin) > time.Second {
		t.Errorf("%d %v %s after %v; want 400 at once", r.status, r.err, r.body, time.Since(begin))
	}
	if n := f.Executions["back"].Stats(http.MethodPost).Requests; n != 0 {
		t.Errorf("%d requests ran", n)
	}
}
