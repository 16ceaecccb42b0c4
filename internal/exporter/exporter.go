// Package exporter writes metrics in the Prometheus text format.
package exporter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"unicode"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderhub/lavenderhub/internal/asserter"
)

const namePrefix = "lavenderhub_"

// quantiles lists the quantiles that are written for each timer.
var quantiles = []float64{0.5, 0.99, 0.999}

// Write writes the metrics of a registry and, for each invariant, how often it was checked and broken. Lines are sorted.
func Write(w io.Writer, r metrics.Registry, a *asserter.Asserter) error {
	var lines []string
	r.Each(func(name string, metric any) {
		name, labels := splitLabels(name)
		lines = append(lines, formatMetric(metricName(name), labels, metric)...)
	})
	for _, c := range a.Counts() {
		lines = append(lines,
			fmt.Sprintf("%sinvariant_checked_total{invariant=%q} %d", namePrefix, c.Invariant, c.Checked),
			fmt.Sprintf("%sinvariant_broken_total{invariant=%q} %d", namePrefix, c.Invariant, c.Broken))
	}
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

// Labeled returns the registry's name of one of several counters or gauges that differ by a label.
func Labeled(name, label, value string) string {
	return fmt.Sprintf("%s{%s=%q}", name, label, value)
}

// splitLabels splits a name that Labeled returned into the name and the labels in braces.
func splitLabels(name string) (base, labels string) {
	if i := strings.IndexByte(name, '{'); i >= 0 {
		return name[:i], name[i:]
	}
	return name, ""
}

// formatMetric returns the lines of a metric, or nil if its type isn't supported. Timers have no labels.
func formatMetric(name, labels string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s_total%s %d", name, labels, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s%s %d", name, labels, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s%s %g", name, labels, m.Value())}
	case metrics.Timer:
		return formatTimer(name, m.Snapshot())
	default:
		return nil
	}
}

// formatTimer returns the lines of a timer. Timers record nanoseconds; the lines are in seconds.
func formatTimer(name string, m metrics.Timer) []string {
	lines := []string{
		fmt.Sprintf("%s_seconds_count %d", name, m.Count()),
		fmt.Sprintf("%s_seconds_mean %g", name, m.Mean()/1e9),
	}
	for i, v := range m.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g", name, quantiles[i], v/1e9))
	}
	return lines
}

// metricName returns the exported name of a metric: lavenderhub_sync_bytes_sent for sync.bytesSent.
func metricName(name string) string {
	var b strings.Builder
	b.WriteString(namePrefix)
	for _, r := range name {
		switch {
		case unicode.IsUpper(r):
			b.WriteByte('_')
			b.WriteRune(unicode.ToLower(r))
		case unicode.IsLetter(r) || unicode.IsDigit(r):
			b.WriteRune(r)
		default:
			b.WriteByte('_')
		}
	}
	return b.String()
}
