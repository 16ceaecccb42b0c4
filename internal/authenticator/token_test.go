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
	findSecret := func(id uint32) ([]byte, bool) { return secret, id == 1 }
	valid := testToken(t, secret)
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
		{"valid", valid, ""},
		{"missing", "", "missing"},
		{"too long", strings.Repeat("a", maxTokenLength+1), "too long"},
		{"not base64", "!" + valid, "base64"},
		{"truncated", valid[:len(valid)-8], "request token"},
		{"another secret", testToken(t, NewSecret()), "signature"},
		{"unknown key", other, "unknown key"},
		{"short id", short, "bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Verify(tt.token, findSecret)
			if tt.want == "" {
				if err != nil || got.GetAccount() != "a" || got.GetRetries() != 2 {
					t.Fatalf("got %v, error %v; want the signed token", got, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

// FuzzVerify checks that Verify accepts only the content of a signed token.
func FuzzVerify(f *testing.F) {
	secret := NewSecret()
	valid := testToken(f, secret)
	f.Add(valid)
	f.Add("")
	f.Add(valid[:10])
	signed, err := Verify(valid, func(uint32) ([]byte, bool) { return secret, true })
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := Verify(s, func(uint32) ([]byte, bool) { return secret, true })
		if err == nil && !proto.Equal(got, signed) {
			t.Fatalf("accepted a token that was not signed: %v", got)
		}
	})
}
