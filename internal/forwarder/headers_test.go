package forwarder

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// FuzzHeaders checks that forwarded headers contain neither the caller's key nor hop-by-hop or Lavenderhub headers, that
// callers can only shorten timeouts and lower priorities, and that a key in the request target is found.
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
		out := removeKey(ForwardableHeaders(in), key)
		for name, values := range out {
			if strings.Contains(strings.ToLower(name), key) || strings.Contains(strings.Join(values, "\n"), key) {
				t.Fatalf("header %q contains the key: %q", name, values)
			}
			if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) || strings.EqualFold(name, "Authorization") {
				t.Fatalf("%q was forwarded", name)
			}
		}
		if len(out["Connection"])+len(out["Transfer-Encoding"])+len(out["Te"]) > 0 {
			t.Fatalf("a hop-by-hop header was forwarded: %v", out)
		}
		d, err := parseTimeout(http.Header{headerTimeout: {value1}})
		if limited := (&Request{Timeout: d}).timeout(time.Second); err == nil && (limited <= 0 || limited > time.Second) {
			t.Fatalf("timeout is %s, want more than 0 and at most 1s", d)
		}
		p, err := parsePriority(http.Header{headerPriority: {value1}})
		if lowered := (&Request{Priority: p}).priority(5); err == nil && lowered > 5 {
			t.Fatalf("priority was raised from 5 to %d", p)
		}
		if !containsKey("/x?"+url.QueryEscape(value1)+key, key) {
			t.Fatal("the key in the target was not found")
		}
	})
}

func TestUUIDTime(t *testing.T) {
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
		got, ok := uuidTime(tt.key)
		if ok != tt.ok || (ok && got.UnixMilli() != tt.want) {
			t.Errorf("uuidTime(%s) = %v, %v", tt.key, got, ok)
		}
	}
}
