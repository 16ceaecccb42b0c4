package reporter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/schema"
)

// Path is the URL path of a node's burn counts on its admin address.
const Path = "/lavenderhub/v1/burn"

// Row is the burn report of one service and client account.
type Row struct {
	Service   string  `json:"service"`
	Account   string  `json:"account"`
	Objective float64 `json:"objective"`
	// BudgetPct is the percentage of the error budget that is left over the longest window. It is negative when the
	// budget is exceeded.
	BudgetPct float64  `json:"budgetLeftPercent"`
	Windows   []Window `json:"windows"`
}

// Window is the burn over one time window.
type Window struct {
	Span  string `json:"span"`
	Total uint64 `json:"total"`
	Good  uint64 `json:"good"`
	Late  uint64 `json:"late"`
	// Failed counts requests without a complete response and upstream errors; Shed counts requests that were not run.
	Failed            uint64  `json:"failed"`
	Shed              uint64  `json:"shed"`
	RefusedWithinRate uint64  `json:"refusedWithinRate"`
	OverRate          uint64  `json:"overRate"`
	GoodPct           float64 `json:"goodPercent"`
	// Burn is the rate at which the error budget is used: at 1 it is used up in exactly the period of the objective.
	Burn float64 `json:"burn"`
}

// Report is the burn report of a fleet. Rows are sorted by the percentage of good requests in the last hour, the smallest
// first.
type Report struct {
	Rows []Row `json:"rows"`
	// Missing lists the nodes without a report, each with the reason.
	Missing []string `json:"missing,omitempty"`
}

// Merge sums the reports of several nodes.
func Merge(reports []*schema.BurnReport) *Report {
	sums := map[rowKey]*schema.BurnRow{}
	for _, r := range reports {
		for _, row := range r.GetRows() {
			k := rowKey{row.GetService(), row.GetAccount()}
			if sums[k] == nil {
				sums[k] = &schema.BurnRow{Service: k.service, Account: k.account}
			}
			add(sums[k], row)
		}
	}
	out := &Report{}
	for _, row := range sums {
		out.Rows = append(out.Rows, newRow(row))
	}
	slices.SortFunc(out.Rows, compareRows)
	return out
}

func add(sum, row *schema.BurnRow) {
	sum.Objective = max(sum.Objective, row.GetObjective())
	for i, w := range row.GetWindows() {
		if i == len(sum.Windows) {
			sum.Windows = append(sum.Windows, &schema.BurnWindow{Seconds: w.GetSeconds(), Counts: &schema.BurnCounts{}})
		}
		s, c := sum.Windows[i].Counts, w.GetCounts()
		s.Good += c.GetGood()
		s.Late += c.GetLate()
		s.Failed += c.GetFailed()
		s.Shed += c.GetShed()
		s.RefusedWithinRate += c.GetRefusedWithinRate()
		s.OverRate += c.GetOverRate()
	}
}

func newRow(row *schema.BurnRow) Row {
	out := Row{Service: row.GetService(), Account: row.GetAccount(), Objective: row.GetObjective()}
	for _, w := range row.GetWindows() {
		out.Windows = append(out.Windows, newWindow(w, row.GetObjective()))
	}
	if n := len(out.Windows); n > 0 {
		out.BudgetPct = 100 * (1 - out.Windows[n-1].Burn)
	}
	return out
}

func newWindow(w *schema.BurnWindow, objective float64) Window {
	c := w.GetCounts()
	bad := c.GetLate() + c.GetFailed() + c.GetShed() + c.GetRefusedWithinRate()
	out := Window{
		Span: spanName(time.Duration(w.GetSeconds()) * time.Second), Total: c.GetGood() + bad, Good: c.GetGood(), Late: c.GetLate(),
		Failed: c.GetFailed(), Shed: c.GetShed(), RefusedWithinRate: c.GetRefusedWithinRate(), OverRate: c.GetOverRate(), GoodPct: 100,
	}
	if out.Total > 0 {
		share := float64(bad) / float64(out.Total)
		out.GoodPct = 100 * (1 - share)
		out.Burn = share / max(1-objective, 1e-9)
	}
	return out
}

func spanName(d time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case d%day == 0:
		return fmt.Sprintf("%dd", d/day)
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}

// compareRows orders rows by the percentage of good requests in the last hour, then by service and account.
func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(hourlyGoodPct(a), hourlyGoodPct(b)),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
}

// hourWindow is the index of the one-hour window in Windows. Rows are ordered by it.
const hourWindow = 2

// hourlyGoodPct returns the percentage of good requests in the last hour, or 100 if the row has no such window.
func hourlyGoodPct(r Row) float64 {
	if len(r.Windows) <= hourWindow {
		return 100
	}
	return r.Windows[hourWindow].GoodPct
}

// Write writes the report in the given format: text, json or html.
func (r *Report) Write(w io.Writer, format string) error {
	switch format {
	case "json":
		return errors.Wrap(json.NewEncoder(w).Encode(r), "encode report")
	case "html":
		return r.writeHTML(w)
	case "text":
		return r.writeText(w)
	default:
		return errors.Errorf("bad output %q, want text, json or html", format)
	}
}

func (r *Report) writeText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "service\taccount\tobjective\tbudget left %\t")
	for _, span := range Windows {
		fmt.Fprintf(t, "burn %s\t", spanName(span))
	}
	fmt.Fprint(t, "good % 1h\tlate\tfailed\tshed\trefused within rate\tover rate\t\n")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%g\t%.1f\t", row.Service, row.Account, row.Objective, row.BudgetPct)
		for _, win := range row.Windows {
			fmt.Fprintf(t, "%.2f\t", win.Burn)
		}
		if len(row.Windows) > hourWindow {
			h := row.Windows[hourWindow]
			fmt.Fprintf(t, "%.3f\t%d\t%d\t%d\t%d\t%d\t", h.GoodPct, h.Late, h.Failed, h.Shed, h.RefusedWithinRate, h.OverRate)
		}
		fmt.Fprint(t, "\n")
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range r.Missing {
		fmt.Fprintf(w, "no answer from %s\n", m)
	}
	return nil
}
