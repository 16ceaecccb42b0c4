package aggregator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/limiter"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// TestStrangerTakesTokens guards against a process outside the fleet that uses up the tokens of a client account.
func TestStrangerTakesTokens(t *testing.T) {
	tests := []struct {
		name  string
		token string
		want  int
	}{
		{"no token", "", http.StatusUnauthorized},
		{"wrong token", "guess", http.StatusUnauthorized},
		{"fleet token", "secret", http.StatusOK},
	}
	tm := timer.New()
	a := New(Parts{
		Timer: tm, Registry: metrics.NewRegistry(), Token: "secret",
		Bucket: func(string) *limiter.Bucket {
			return limiter.NewBucket(tm, nil, func() {}, limiter.WithLocalRate(1, 1))
		},
	})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, PathPrefix+"Take", strings.NewReader(`{"account":"x"}`))
			r.Header.Set("Content-Type", "application/json")
			if tt.token != "" {
				r.Header.Set(dialer.TokenHeader, tt.token)
			}
			w := httptest.NewRecorder()
			a.Handler().ServeHTTP(w, r)
			if w.Code != tt.want {
				t.Errorf("got %d %s, want %d", w.Code, w.Body, tt.want)
			}
		})
	}
}
