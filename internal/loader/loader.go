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

// Loader carries out one plan.
type Loader struct {
	plan     Plan
	timer    *timer.Service
	client   *http.Client
	random   *rand.Rand
	total    *counter
	accounts map[string]*counter
	good     []atomic.Int64
	sent     []atomic.Int64
	inflight atomic.Int64
	skipped  int64
	began    time.Time
	tomb     tomb.Tomb
}

// verdict is what became of one request.
type verdict struct {
	good    bool
	broken  bool
	reason  string
	outcome string
	again   bool
}

// New returns a Loader for a checked plan.
func New(p Plan, t *timer.Service) (*Loader, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	buckets := int(p.Duration/BucketSpan) + 1
	l := &Loader{
		plan: p, timer: t, random: rand.New(rand.NewPCG(p.Seed, p.Seed)), total: newCounter(),
		accounts: map[string]*counter{}, good: make([]atomic.Int64, buckets), sent: make([]atomic.Int64, buckets),
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

// Run sends the load and returns the result. It ends early when the context does.
func (l *Loader) Run(ctx context.Context) *Result {
	l.began = l.timer.Now()
	l.tomb.Go(func() error {
		l.send(ctx)
		return nil
	})
	_ = l.tomb.Wait()
	l.client.CloseIdleConnections()
	return l.result()
}

// send starts each request when it is due: the gaps are exponential, as of many callers that know nothing of each other.
func (l *Loader) send(ctx context.Context) {
	due := time.Duration(0)
	for n := 0; ; n++ {
		total := l.rateAt(due)
		due += time.Duration(l.random.ExpFloat64() / total * float64(time.Second))
		if due >= l.plan.Duration {
			return
		}
		if wait := due - l.timer.Since(l.began); wait > 0 {
			if l.timer.Sleep(ctx, wait) != nil {
				return
			}
		}
		stream := l.choose(due, total)
		if l.inflight.Load() >= maxInflight {
			l.skipped++
			continue
		}
		l.inflight.Add(1)
		request, at := n, due
		l.tomb.Go(func() error {
			defer l.inflight.Add(-1)
			l.one(ctx, stream, request, at)
			return nil
		})
	}
}

func (l *Loader) isSurge(at time.Duration) bool {
	return at >= l.plan.SurgeStart && at < l.plan.SurgeEnd
}

func (l *Loader) rateOf(s *Stream, at time.Duration) float64 {
	if l.isSurge(at) && s.SurgeFactor > 0 {
		return s.Rate * s.SurgeFactor
	}
	return s.Rate
}

func (l *Loader) rateAt(at time.Duration) float64 {
	total := 0.0
	for i := range l.plan.Streams {
		total += l.rateOf(&l.plan.Streams[i], at)
	}
	return total
}

// choose draws the stream of a request by the rates.
func (l *Loader) choose(at time.Duration, total float64) *Stream {
	x := l.random.Float64() * total
	for i := range l.plan.Streams {
		s := &l.plan.Streams[i]
		if x -= l.rateOf(s, at); x < 0 {
			return s
		}
	}
	return &l.plan.Streams[len(l.plan.Streams)-1]
}

// one sends a request, and again after failures when the plan says so.
func (l *Loader) one(ctx context.Context, s *Stream, n int, due time.Duration) {
	id := strconv.FormatUint(l.plan.Seed, 36) + "-" + strconv.Itoa(n)
	account := l.accounts[s.Account]
	account.sent()
	l.total.sent()
	l.sent[due/BucketSpan].Add(1)
	resent := int64(0)
	v := l.try(ctx, s, id, n)
	for v.again && resent < int64(l.plan.Resends) {
		if l.timer.Sleep(ctx, l.plan.ResendPause) != nil {
			break
		}
		resent++
		v = l.try(ctx, s, id, n+int(resent))
	}
	end := l.timer.Since(l.began)
	account.end(v, end-due, resent)
	l.total.end(v, end-due, resent)
	if at := int(end / BucketSpan); v.good && at < len(l.good) {
		l.good[at].Add(1)
	}
}

func (l *Loader) try(ctx context.Context, s *Stream, id string, n int) verdict {
	ctx, cancel := context.WithTimeout(ctx, l.timeout())
	defer cancel()
	req, service, err := l.request(ctx, s, id, n)
	if err != nil {
		return verdict{reason: "badRequest"}
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return verdict{reason: reasonOf(ctx), again: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdict{reason: "answerBroke", again: true}
	}
	return judge(resp, body, service, id)
}

func reasonOf(ctx context.Context) string {
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

func (l *Loader) request(ctx context.Context, s *Stream, id string, n int) (*http.Request, string, error) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(s.Path, "/"), "/")
	path := s.Path
	if l.plan.Direct {
		path = "/" + rest
	}
	target := l.plan.Targets[n%len(l.plan.Targets)]
	url := fmt.Sprintf("http://%s%s?id=%s", target, path, id)
	if l.plan.Size > 0 {
		url += "&size=" + strconv.Itoa(l.plan.Size)
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
	if s.Once {
		// Under its canonical name the header would let net/http send the request twice by itself.
		req.Header["idempotency-key"] = []string{id}
	}
	return req, service, nil
}

// judge verifies an answer.
func judge(resp *http.Response, body []byte, service, id string) verdict {
	reason := resp.Header.Get(refuser.HeaderReason)
	outcome := resp.Header.Get(refuser.HeaderOutcome)
	if resp.StatusCode != http.StatusOK {
		if reason == "" {
			reason = "status" + strconv.Itoa(resp.StatusCode)
		}
		again := resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests
		return verdict{reason: reason, outcome: outcome, again: again}
	}
	want := responder.Payload(service, id, len(body))
	if resp.Header.Get(responder.HeaderLength) != strconv.Itoa(len(body)) ||
		resp.Header.Get(responder.HeaderChecksum) != responder.Checksum(want) || string(want) != string(body) {
		return verdict{broken: true, reason: "wrongBody"}
	}
	return verdict{good: true, outcome: outcome}
}

func (l *Loader) result() *Result {
	seconds := math.Min(l.plan.Duration.Seconds(), l.timer.Since(l.began).Seconds())
	r := &Result{Seconds: seconds, Accounts: map[string]Figures{}, Skipped: l.skipped}
	r.Total = l.total.result()
	for name, c := range l.accounts {
		r.Accounts[name] = c.result()
	}
	r.GoodPerSec = float64(r.Total.Good) / r.Seconds
	for i := range l.good {
		r.Series = append(r.Series, l.good[i].Load())
		r.SentSeries = append(r.SentSeries, l.sent[i].Load())
	}
	return r
}
