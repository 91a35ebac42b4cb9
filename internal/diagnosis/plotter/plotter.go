// Package plotter renders the journal of the users' benchmark as an HTML page with
// the scores, worths, worst windows and prices of every run, by site.
package plotter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Day is the result of one day of a run. Worth is the benefit minus the prices, as
// a fraction of what was owed.
type Day struct {
	Name  string
	Worth float64
	// WorstWindows is the worth of the two worst windows of two seconds.
	WorstWindows float64
	Prices       float64
	Served       float64
	// Broken is the number of violated rules.
	Broken int
}

// Run is a complete score of a site.
type Run struct {
	ID, Site, Why, Commit string
	At                    time.Time
	Score                 float64
	Days                  []Day
}

// entry holds the fields of a journal entry that are used here.
type entry struct {
	ID      string   `json:"id"`
	At      []string `json:"at"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	Why     string   `json:"why"`
	Head    string   `json:"head"`
	Score   *float64 `json:"score"`
	Days    []struct {
		Name   string         `json:"name"`
		Worth  float64        `json:"G"`
		Served float64        `json:"served"`
		Rules  map[string]any `json:"rules"`
		Parts  [][]any        `json:"parts"`
		Prices [][]any        `json:"prices"`
	} `json:"days"`
}

// Read returns the scores in a directory of journal entries, oldest first. Other
// kinds of entries are skipped.
func Read(dir string) (runs []Run, err error) {
	defer func() { err = errors.Wrap(err, "read journal") }()
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, errors.Wrap(err, f)
		}
		if e.Command != "score" || e.Score == nil || len(e.At) == 0 {
			continue
		}
		r, err := e.run()
		if err != nil {
			return nil, errors.Wrap(err, f)
		}
		runs = append(runs, r)
	}
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	return runs, nil
}

// run converts the entry of a score.
func (e *entry) run() (r Run, err error) {
	r = Run{ID: e.ID, Site: e.Site, Why: e.Why, Commit: e.Head[:min(len(e.Head), 7)], Score: *e.Score}
	if r.At, err = time.Parse(time.RFC3339, e.At[0]); err != nil {
		return r, errors.WithStack(err)
	}
	for _, d := range e.Days {
		day := Day{Name: d.Name, Worth: d.Worth, Served: d.Served, Broken: len(d.Rules)}
		for _, p := range d.Parts {
			if len(p) == 3 && p[0] == "worst windows" {
				day.WorstWindows, _ = p[2].(float64)
			}
		}
		for _, p := range d.Prices {
			if len(p) == 3 {
				price, _ := p[2].(float64)
				day.Prices += price
			}
		}
		r.Days = append(r.Days, day)
	}
	return r, nil
}

// means returns the means over the days of a run, and the sum of the violated
// rules.
func (r *Run) means() (m Day) {
	n := float64(max(1, len(r.Days)))
	for _, d := range r.Days {
		m.Worth += d.Worth / n
		m.WorstWindows += d.WorstWindows / n
		m.Prices += d.Prices / n
		m.Served += d.Served / n
		m.Broken += d.Broken
	}
	return m
}

// site is the section of a site on the page.
type site struct {
	Name string
	Plot template.HTML
	Rows []row
}

// row is the table row of a run.
type row struct {
	Run
	Mean Day
}

// Write writes the HTML page of the runs.
func Write(w io.Writer, runs []Run) (err error) {
	defer func() { err = errors.Wrap(err, "write report") }()
	bySite := map[string][]Run{}
	for i := range runs {
		bySite[runs[i].Site] = append(bySite[runs[i].Site], runs[i])
	}
	var sites []site
	for name, runs := range bySite {
		s := site{Name: name}
		if s.Plot, err = plotRuns(runs); err != nil {
			return err
		}
		for i := range runs {
			s.Rows = append(s.Rows, row{Run: runs[i], Mean: runs[i].means()})
		}
		sites = append(sites, s)
	}
	sort.Slice(sites, func(i, j int) bool { return sites[i].Name < sites[j].Name })
	return errors.WithStack(page.Execute(w, sites))
}

// plotRuns returns the plot of a site's runs as SVG.
func plotRuns(runs []Run) (svg template.HTML, err error) {
	p := plot.New()
	p.X.Label.Text = "run"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	var score, worth, windows, served plotter.XYs
	for i := range runs {
		m, x := runs[i].means(), float64(i+1)
		score = append(score, plotter.XY{X: x, Y: runs[i].Score})
		worth = append(worth, plotter.XY{X: x, Y: m.Worth})
		windows = append(windows, plotter.XY{X: x, Y: m.WorstWindows})
		served = append(served, plotter.XY{X: x, Y: m.Served})
	}
	err = plotutil.AddLinePoints(p, "score", score, "worth, mean of days", worth, "worst windows, mean", windows, "served, mean", served)
	if err != nil {
		return "", errors.WithStack(err)
	}
	c, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.WithStack(err)
	}
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", errors.WithStack(err)
	}
	// Skip the XML header before the <svg> element, as HTML does not allow it.
	return template.HTML(b.Bytes()[max(0, bytes.Index(b.Bytes(), []byte("<svg"))):]), nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"figure": func(f float64) string { return fmt.Sprintf("%.3f", f) },
	"moment": func(t time.Time) string { return t.Format("2006-01-02 15:04") },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>cactuspin: scores</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .6em;text-align:right;border-bottom:1px solid #ddd}td:last-child,th:last-child{text-align:left}</style>
</head><body><h1>Scores of the packet path</h1>
{{range .}}<h2>{{.Name}}</h2>
{{.Plot}}
<table><tr><th>run</th><th>when</th><th>commit</th><th>score</th><th>worth</th><th>worst windows</th><th>prices</th><th>served</th><th>rules broken</th><th>why</th></tr>
{{range .Rows}}<tr><td>{{.ID}}</td><td>{{moment .At}}</td><td>{{.Commit}}</td><td>{{figure .Score}}</td><td>{{figure .Mean.Worth}}</td><td>{{figure .Mean.WorstWindows}}</td><td>{{figure .Mean.Prices}}</td><td>{{figure .Mean.Served}}</td><td>{{.Mean.Broken}}</td><td>{{.Why}}</td></tr>
{{end}}</table>
{{end}}</body></html>
`))
