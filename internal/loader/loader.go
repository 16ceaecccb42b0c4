package loader

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/refuser"
	"github.com/lavenderhub/lavenderhub/internal/responder"
	"github.com/lavenderhub/lavenderhub/internal/timer"
)

// Loader runs one plan.
type Loader struct {
	plan       Plan
	timer      *timer.Service
	client     *http.Client
	random     *rand.Rand
	total      *counter
	accounts   map[string]*counter
	goodSeries []atomic.Int64
	sentSeries []atomic.Int64
	inflight   atomic.Int64
	skipped    int64
	start      time.Time
	tomb       tomb.Tomb
}

// attemptResult is the result of one attempt to send a request.
type attemptResult struct {
	good      bool
	corrupt   bool // wrong length or checksum
	reason    string
	outcome   string
	retriable bool
}

// New checks a plan and returns a Loader for it.
func New(p Plan, t *timer.Service) (*Loader, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	buckets := int(p.Duration/BucketSpan) + 1
	l := &Loader{
		plan: p, timer: t, random: rand.New(rand.NewPCG(p.Seed, p.Seed)), total: newCounter(),
		accounts: map[string]*counter{}, goodSeries: make([]atomic.Int64, buckets), sentSeries: make([]atomic.Int64, buckets),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInflight, DisableCompression: true,
		}},
	}
	for _, s := range p.Streams {
		if l.accounts[s.Account] == nil {
			l.accounts[s.Account] = newCounter()
		}
	}
	return l, nil
}

// Run sends the load and returns the result. It stops early when ctx ends.
func (l *Loader) Run(ctx context.Context) *Result {
	l.start = l.timer.Now()
	l.tomb.Go(func() error {
		l.sendAll(ctx)
		return nil
	})
	_ = l.tomb.Wait()
	l.client.CloseIdleConnections()
	return l.result()
}

// sendAll starts each request when it is due, whether or not earlier requests have ended. The times between requests are
// exponentially distributed, like those of many independent callers.
func (l *Loader) sendAll(ctx context.Context) {
	due := time.Duration(0)
	for n := 0; ; n++ {
		totalRate := l.totalRate(due)
		due += time.Duration(l.random.ExpFloat64() / totalRate * float64(time.Second))
		if due >= l.plan.Duration {
			return
		}
		if wait := due - l.timer.Since(l.start); wait > 0 {
			if l.timer.Sleep(ctx, wait) != nil {
				return
			}
		}
		stream := l.chooseStream(due, totalRate)
		if l.inflight.Load() >= maxInflight {
			l.skipped++
			continue
		}
		l.inflight.Add(1)
		number, dueAt := n, due
		l.tomb.Go(func() error {
			defer l.inflight.Add(-1)
			l.sendRequest(ctx, stream, number, dueAt)
			return nil
		})
	}
}

func (l *Loader) inSurge(at time.Duration) bool {
	return at >= l.plan.SurgeStart && at < l.plan.SurgeEnd
}

func (l *Loader) streamRate(s *Stream, at time.Duration) float64 {
	if l.inSurge(at) && s.SurgeFactor > 0 {
		return s.Rate * s.SurgeFactor
	}
	return s.Rate
}

func (l *Loader) totalRate(at time.Duration) float64 {
	total := 0.0
	for i := range l.plan.Streams {
		total += l.streamRate(&l.plan.Streams[i], at)
	}
	return total
}

// chooseStream picks a stream at random, with probabilities in proportion to the streams' rates.
func (l *Loader) chooseStream(at time.Duration, totalRate float64) *Stream {
	x := l.random.Float64() * totalRate
	for i := range l.plan.Streams {
		s := &l.plan.Streams[i]
		if x -= l.streamRate(s, at); x < 0 {
			return s
		}
	}
	return &l.plan.Streams[len(l.plan.Streams)-1]
}

// sendRequest sends request n, retries it as the plan allows, and counts the result. The latency is measured from the time
// at which the request was due.
func (l *Loader) sendRequest(ctx context.Context, s *Stream, n int, due time.Duration) {
	id := strconv.FormatUint(l.plan.Seed, 36) + "-" + strconv.Itoa(n)
	account := l.accounts[s.Account]
	account.addSent()
	l.total.addSent()
	l.sentSeries[due/BucketSpan].Add(1)
	retries := int64(0)
	result := l.attempt(ctx, s, id, n)
	for result.retriable && retries < int64(l.plan.ClientRetries) {
		if l.timer.Sleep(ctx, l.plan.ClientRetryDelay) != nil {
			break
		}
		retries++
		result = l.attempt(ctx, s, id, n+int(retries))
	}
	end := l.timer.Since(l.start)
	account.addResult(result, end-due, retries)
	l.total.addResult(result, end-due, retries)
	if bucket := int(end / BucketSpan); result.good && bucket < len(l.goodSeries) {
		l.goodSeries[bucket].Add(1)
	}
}

func (l *Loader) attempt(ctx context.Context, s *Stream, id string, n int) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, l.timeout())
	defer cancel()
	req, service, err := l.newRequest(ctx, s, id, n)
	if err != nil {
		return attemptResult{reason: "badRequest"}
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return attemptResult{reason: failureReason(ctx), retriable: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return attemptResult{reason: "answerBroke", retriable: true}
	}
	return checkResponse(resp, body, service, id)
}

func failureReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return "callerTimeout"
	}
	return "connection"
}

func (l *Loader) timeout() time.Duration {
	if l.plan.Timeout > 0 {
		return l.plan.Timeout
	}
	return maxDuration
}

func (l *Loader) newRequest(ctx context.Context, s *Stream, id string, n int) (*http.Request, string, error) {
	service, servicePath, _ := strings.Cut(strings.TrimPrefix(s.Path, "/"), "/")
	path := s.Path
	if l.plan.Direct {
		path = "/" + servicePath
	}
	target := l.plan.Targets[n%len(l.plan.Targets)]
	url := fmt.Sprintf("http://%s%s?id=%s", target, path, id)
	if l.plan.ResponseSize > 0 {
		url += "&size=" + strconv.Itoa(l.plan.ResponseSize)
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, url, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	if s.Key != "" {
		req.Header.Set("Authorization", "Bearer "+s.Key)
	}
	if s.Priority != "" {
		req.Header.Set("Lavenderhub-Priority", s.Priority)
	}
	if l.plan.Timeout > 0 {
		req.Header.Set("Lavenderhub-Timeout", l.plan.Timeout.String())
	}
	if s.UseIdempotencyKey {
		// With the canonical header name, net/http would regard the request as idempotent and could retry it itself.
		req.Header["idempotency-key"] = []string{id}
	}
	return req, service, nil
}

// checkResponse verifies the status, length, checksum and body of a response.
func checkResponse(resp *http.Response, body []byte, service, id string) attemptResult {
	reason := resp.Header.Get(refuser.HeaderReason)
	outcome := resp.Header.Get(refuser.HeaderOutcome)
	if resp.StatusCode != http.StatusOK {
		if reason == "" {
			reason = "status" + strconv.Itoa(resp.StatusCode)
		}
		retriable := resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests
		return attemptResult{reason: reason, outcome: outcome, retriable: retriable}
	}
	want := responder.Payload(service, id, len(body))
	if resp.Header.Get(responder.HeaderLength) != strconv.Itoa(len(body)) ||
		resp.Header.Get(responder.HeaderChecksum) != responder.Checksum(want) || string(want) != string(body) {
		return attemptResult{corrupt: true, reason: "wrongBody"}
	}
	return attemptResult{good: true, outcome: outcome}
}

func (l *Loader) result() *Result {
	seconds := math.Min(l.plan.Duration.Seconds(), l.timer.Since(l.start).Seconds())
	r := &Result{Seconds: seconds, Accounts: map[string]Figures{}, Skipped: l.skipped}
	r.Total = l.total.snapshot()
	for name, c := range l.accounts {
		r.Accounts[name] = c.snapshot()
	}
	r.GoodPerSec = float64(r.Total.Good) / r.Seconds
	for i := range l.goodSeries {
		r.Series = append(r.Series, l.goodSeries[i].Load())
		r.SentSeries = append(r.SentSeries, l.sentSeries[i].Load())
	}
	return r
}
