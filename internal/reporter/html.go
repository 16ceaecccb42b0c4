package reporter

import (
	"bytes"
	"html/template"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 10 * vg.Millimeter
	// maxBars is the maximum number of rows in a plot. Rows are plotted in report order, the worst first.
	maxBars = 16
)

var page = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}
td,th{padding:.3em .6em;border-bottom:1px solid #ccc;text-align:right}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}
.bad{color:#b00}svg{max-width:100%;height:auto}</style></head><body>
<h1>Service-level burn</h1>
<p>Burn 1 uses up the error budget in exactly the period of the objective. The worst-served client account stands first.</p>
{{range .Missing}}<p class="bad">No answer from {{.}}.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<table><tr><th>service</th><th>account</th><th>objective</th><th>budget left %</th><th>window</th><th>burn</th><th>good %</th>
<th>total</th><th>late</th><th>failed</th><th>shed</th><th>refused within rate</th><th>over rate</th></tr>
{{range $r := .Rows}}{{range .Windows}}<tr><td>{{$r.Service}}</td><td>{{$r.Account}}</td><td>{{$r.Objective}}</td>
<td>{{printf "%.1f" $r.BudgetPct}}</td><td>{{.Span}}</td><td{{if gt .Burn 1.0}} class="bad"{{end}}>{{printf "%.2f" .Burn}}</td>
<td>{{printf "%.3f" .GoodPct}}</td><td>{{.Total}}</td><td>{{.Late}}</td><td>{{.Failed}}</td><td>{{.Shed}}</td>
<td>{{.RefusedWithinRate}}</td><td>{{.OverRate}}</td></tr>
{{end}}{{end}}</table></body></html>
`))

// chart is a plot with its heading.
type chart struct {
	Title string
	SVG   template.HTML
}

// pageData is the input of the page template.
type pageData struct {
	*Report
	Plots []chart
}

func (r *Report) writeHTML(w io.Writer) error {
	data := pageData{Report: r}
	for i, span := range Windows {
		svg, err := r.plot(i)
		if err != nil {
			return err
		}
		if svg != "" {
			data.Plots = append(data.Plots, chart{Title: "Burn over " + spanName(span), SVG: svg})
		}
	}
	return errors.Wrap(page.Execute(w, data), "write page")
}

// plot returns a bar chart of the burn rates in one window as SVG, or an empty string if the window has no requests. The
// window is an index into Windows.
func (r *Report) plot(window int) (template.HTML, error) {
	var values plotter.Values
	var names []string
	for _, row := range r.Rows {
		if window < len(row.Windows) && row.Windows[window].Total > 0 && len(values) < maxBars {
			values = append(values, row.Windows[window].Burn)
			names = append(names, row.Service+" "+row.Account)
		}
	}
	if len(values) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return "", errors.Wrap(err, "draw bars")
	}
	p.Add(plotter.NewGrid(), bars)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = draw.XRight
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "write plot")
	}
	// Inline SVG in HTML must not have an XML prologue.
	svg := out.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start >= 0 {
		svg = svg[start:]
	}
	return template.HTML(svg), nil //nolint:gosec // The plotting library escapes the text in the SVG.
}
