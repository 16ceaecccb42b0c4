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
	// lowestLatency and highestLatency bound the histograms, in microseconds.
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits.
	histogramDigits = 3
	// BucketSpan is the length of one element of the time series.
	BucketSpan = 100 * time.Millisecond
)

// Figures are the counts of some requests.
type Figures struct {
	// Sent counts requests, without resends.
	Sent int64 `json:"sent"`
	// Good counts whole verified answers.
	Good int64 `json:"good"`
	// Resent counts resends.
	Resent int64 `json:"resent"`
	// Broken counts answers with a wrong length or checksum.
	Broken int64 `json:"broken"`
	// Reasons counts what was not good, by the reason that the answer gave.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	// Outcomes counts the refusals by their outcome.
	Outcomes map[string]int64 `json:"outcomes,omitempty"`
	P50Ms    float64          `json:"p50Ms"`
	P99Ms    float64          `json:"p99Ms"`
	P999Ms   float64          `json:"p999Ms"`
	MaxMs    float64          `json:"maxMs"`
}

// Result is the outcome of a load.
type Result struct {
	Seconds    float64            `json:"seconds"`
	GoodPerSec float64            `json:"goodPerSecond"`
	Total      Figures            `json:"total"`
	Accounts   map[string]Figures `json:"accounts"`
	Skipped    int64              `json:"skipped"`
	// Series counts good answers in each BucketSpan, by the time at which they ended.
	Series []int64 `json:"series"`
	// SentSeries counts requests in each BucketSpan, by the time at which they were due.
	SentSeries []int64 `json:"sentSeries"`
}

// counter gathers the figures of one account.
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

func (c *counter) sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures.Sent++
}

// end counts the end of a request, after a number of resends.
func (c *counter) end(v verdict, took time.Duration, resent int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.figures.Resent += resent
	switch {
	case v.good:
		c.figures.Good++
		_ = c.histogram.RecordValue(min(highestLatency, max(lowestLatency, took.Microseconds())))
	case v.broken:
		c.figures.Broken++
	}
	if v.reason != "" {
		c.figures.Reasons[v.reason]++
	}
	if v.outcome != "" {
		c.figures.Outcomes[v.outcome]++
	}
}

func (c *counter) result() Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.figures
	f.P50Ms, f.P99Ms = quantileMs(c.histogram, 50), quantileMs(c.histogram, 99)
	f.P999Ms, f.MaxMs = quantileMs(c.histogram, 99.9), float64(c.histogram.Max())/1000
	return f
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// WriteText writes the result as a table.
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
		name, f.Sent, f.Good, share, f.Resent, f.Broken, f.P50Ms, f.P99Ms, f.P999Ms, f.MaxMs)
}
