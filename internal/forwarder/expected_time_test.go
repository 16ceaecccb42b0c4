package forwarder

import (
	"math"
	"net/http"
	"testing"
	"time"
)

// The expected time must survive the way to the other node within two digits, in at most six bytes. An invalid one must not
// change the choice of a worker.
func TestExpectedTimeHeader(t *testing.T) {
	tests := []struct {
		in   time.Duration
		text string
	}{
		{0, ""},
		{347 * time.Microsecond, "0.35"},
		{15234 * time.Microsecond, "15"},
		{99900 * time.Microsecond, "100"},
		{268 * time.Millisecond, "270"},
		{12345 * time.Millisecond, "12000"},
	}
	for _, tt := range tests {
		h := http.Header{}
		writeExpectedTime(h, tt.in)
		if got := h.Get(headerExpectedTime); got != tt.text {
			t.Errorf("%s is sent as %q, want %q", tt.in, got, tt.text)
		}
		h = http.Header{}
		hopReport{expected: tt.in}.write(h)
		if got := readReport(h).expected; math.Abs(got.Seconds()-tt.in.Seconds()) > 0.05*tt.in.Seconds() {
			t.Errorf("%s is read as %s", tt.in, got)
		}
	}
	for _, text := range []string{"", "-5", "0", "NaN", "Inf", "1e300", "5,5", "x"} {
		if got := readExpectedTime(http.Header{headerExpectedTime: {text}}); got != 0 {
			t.Errorf("%q is read as %s, want none", text, got)
		}
	}
}
