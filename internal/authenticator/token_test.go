package authenticator

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/schema"
)

func testToken(t testing.TB, secret []byte) string {
	s, err := Sign(&schema.HopToken{RequestId: NewRequestID(), Account: "a", Service: "s", Retries: 2}, 1, secret)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestVerify(t *testing.T) {
	secret := NewSecret()
	secretOf := func(id uint32) ([]byte, bool) { return secret, id == 1 }
	good := testToken(t, secret)
	short, err := Sign(&schema.HopToken{RequestId: []byte("short")}, 1, secret)
	if err != nil {
		t.Fatal(err)
	}
	other, err := Sign(&schema.HopToken{RequestId: NewRequestID()}, 2, secret)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		token string
		want  string
	}{
		{"good", good, ""},
		{"missing", "", "missing"},
		{"too long", strings.Repeat("a", maxTokenLength+1), "too long"},
		{"not base64", "!" + good, "base64"},
		{"cut", good[:len(good)-8], "request token"},
		{"another secret", testToken(t, NewSecret()), "signature"},
		{"unknown key", other, "unknown key"},
		{"short id", short, "bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Verify(tt.token, secretOf)
			if tt.want == "" {
				if err != nil || got.GetAccount() != "a" || got.GetRetries() != 2 {
					t.Fatalf("%v %v", got, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("%v, want %q", err, tt.want)
			}
		})
	}
}

// FuzzVerify makes sure that nothing but a signed token passes.
func FuzzVerify(f *testing.F) {
	secret := NewSecret()
	good := testToken(f, secret)
	f.Add(good)
	f.Add("")
	f.Add(good[:10])
	signed, err := Verify(good, func(uint32) ([]byte, bool) { return secret, true })
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := Verify(s, func(uint32) ([]byte, bool) { return secret, true })
		if err == nil && !proto.Equal(got, signed) {
			t.Fatalf("a token passed that nobody signed: %v", got)
		}
	})
}
