package forwarder

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// FuzzHeaders makes sure that no header passed on holds the key or belongs to the connection or to the program.
func FuzzHeaders(f *testing.F) {
	const key = "lh_0123456789abcdef"
	f.Add("Authorization", "Bearer "+key, "X-Copy", key, "close, X-Copy")
	f.Add("lavenderhub-request", "x", "Cookie", "a="+key, "keep-alive")
	f.Add("Te", "trailers", key, "value", "")
	f.Fuzz(func(t *testing.T, name1, value1, name2, value2, connection string) {
		in := http.Header{}
		in.Add(name1, value1)
		in.Add(name2, value2)
		in.Set("Connection", connection)
		out := withoutKey(ForwardableHeaders(in), key)
		for name, values := range out {
			if strings.Contains(strings.ToLower(name), key) || strings.Contains(strings.Join(values, "\n"), key) {
				t.Fatalf("the key is in %q: %q", name, values)
			}
			if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) || strings.EqualFold(name, "Authorization") {
				t.Fatalf("%q was passed on", name)
			}
		}
		if len(out["Connection"])+len(out["Transfer-Encoding"])+len(out["Te"]) > 0 {
			t.Fatalf("a header of the connection was passed on: %v", out)
		}
		d, err := timeoutOf(http.Header{headerTimeout: {value1}})
		if limited := (&Request{Timeout: d}).timeout(time.Second); err == nil && (limited <= 0 || limited > time.Second) {
			t.Fatalf("timeout %s", d)
		}
		p, err := priorityOf(http.Header{headerPriority: {value1}})
		if lowered := (&Request{Priority: p}).priority(5); err == nil && lowered > 5 {
			t.Fatalf("priority was raised to %d", p)
		}
		if !holdsKey("/x?"+url.QueryEscape(value1)+key, key) {
			t.Fatal("a key in the target was missed")
		}
	})
}

func TestTimeOfUUID(t *testing.T) {
	tests := []struct {
		key  string
		want int64
		ok   bool
	}{
		{"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000, true},
		{"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", 0, false},
		{"deposit-1", 0, false},
		{"zzzzzzzz-79b0-7cc3-98c4-dc0c0c07398f", 0, false},
	}
	for _, tt := range tests {
		got, ok := timeOfUUID(tt.key)
		if ok != tt.ok || (ok && got.UnixMilli() != tt.want) {
			t.Errorf("%s: %v %v", tt.key, got, ok)
		}
	}
}
