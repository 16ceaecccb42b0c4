package loader

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestLatency and highestLatency are the bounds of the histograms, in microseconds.
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits of the histograms.
	histogramDigits = 3
	// BucketSpan is the duration that one element of a time series covers.
	BucketSpan = 100 * time.Millisecond
)

// Figures holds the counts and latencies of a set of requests.
type Figures struct {
	// Sent counts requests, not including client retries.
	Sent int64 `json:"sent"`
	// Good counts complete, verified responses.
	Good int64 `json:"good"`
	// ClientRetries is the total number of client retries.
	ClientRetries int64 `json:"resent"`
	// Corrupt counts responses with a wrong length or checksum.
	Corrupt int64 `json:"broken"`
	// Reasons counts failed requests by the reason in the response, or by the error when there was no response.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	// Outcomes counts responses by the outcome in their header.
	Outcomes map[string]int64 `json:"outcomes,omitempty"`
	P50Ms    float64          `json:"p50Ms"`
	P99Ms    float64          `json:"p99Ms"`
	P999Ms   float64          `json:"p999Ms"`
	MaxMs    float64          `json:"maxMs"`
}

// Result is the result of a load.
type Result struct {
	Seconds    float64            `json:"seconds"`
	GoodPerSec float64            `json:"goodPerSecond"`
	Total      Figures            `json:"total"`
	Accounts   map[string]Figures `json:"accounts"`
	// Skipped counts requests that were not sent because too many were in progress.
	Skipped int64 `json:"skipped"`
	// Series counts good responses per BucketSpan, by the time at which they ended.
	Series []int64 `json:"series"`
	// SentSeries counts requests per BucketSpan, by the time at which they were due.
	SentSeries []int64 `json:"sentSeries"`
}

// counter collects the figures of one account or of the whole load.
type counter struct {
	mu        sync.Mutex
	figures   Figures
	histogram *hdrhistogram.Histogram
}

func newCounter() *counter {
	return &counter{
		figures:   Figures{Reasons: map[string]int64{}, Outcomes: map[string]int64{}},
		histogram: hdrhistogram.New(lowestLatency, highestLatency, histogramDigits),
	}
}

func (c *counter) addSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures.Sent++
}

// addResult counts a finished request with the result of its last attempt.
func (c *counter) addResult(result attemptResult, took time.Duration, retries int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures.ClientRetries += retries
	switch {
	case result.good:
		c.figures.Good++
		_ = c.histogram.RecordValue(min(highestLatency, max(lowestLatency, took.Microseconds())))
	case result.corrupt:
		c.figures.Corrupt++
	}
	if result.reason != "" {
		c.figures.Reasons[result.reason]++
	}
	if result.outcome != "" {
		c.figures.Outcomes[result.outcome]++
	}
}

func (c *counter) snapshot() Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.figures
	f.P50Ms, f.P99Ms = percentileMs(c.histogram, 50), percentileMs(c.histogram, 99)
	f.P999Ms, f.MaxMs = percentileMs(c.histogram, 99.9), float64(c.histogram.Max())/1000
	return f
}

func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// WriteText writes the result as a table, followed by a summary line.
func (r *Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "account\tsent\tgood\tgood %%\tresent\tbroken\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t\n")
	names := make([]string, 0, len(r.Accounts))
	for name := range r.Accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		writeRow(t, name, r.Accounts[name])
	}
	writeRow(t, "all", r.Total)
	if err := t.Flush(); err != nil {
		return err
	}
	reasons := make([]string, 0, len(r.Total.Reasons))
	for reason, n := range r.Total.Reasons {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
	}
	sort.Strings(reasons)
	_, err := fmt.Fprintf(w, "%.1f good answers a second over %.1f s; not good: %v; skipped %d\n",
		r.GoodPerSec, r.Seconds, reasons, r.Skipped)
	return err
}

func writeRow(w io.Writer, name string, f Figures) {
	share := 0.0
	if f.Sent > 0 {
		share = 100 * float64(f.Good) / float64(f.Sent)
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
		name, f.Sent, f.Good, share, f.ClientRetries, f.Corrupt, f.P50Ms, f.P99Ms, f.P999Ms, f.MaxMs)
}
