package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": formatPercent,
	"rate":    formatRate,
	"period":  formatPeriod,
	"target":  formatTarget,
	"phases":  ServiceLevel.phases,
	"share":   func(s float64) string { return formatPercent(&s) },
	"time":    func(t time.Time) string { return t.Format("2006-01-02 15:04:05Z") },
	"over":    func(l ServiceLevel) bool { return l.BurnRate != nil && *l.BurnRate > 1 },
}).Parse(pageText))

// pageData is the input of the template page.html.
type pageData struct {
	*Report
	// RecentlyStarted lists at most maxRecentlyStarted routers.
	RecentlyStarted []IncludedRouter
	// MoreRecentlyStarted is the number of routers left out of RecentlyStarted.
	MoreRecentlyStarted int
	Attainment          template.HTML
	AttainmentLegend    []legendItem
	Sections            []pageSection
}

type pageSection struct {
	WindowReport
	Plot   template.HTML
	Legend []legendItem
	// MultiProfileClasses are the classes with several profiles. A class with one
	// profile is left out, because its figures are those of the profile.
	MultiProfileClasses []ServiceLevel
}

// phaseRow is one row of the table of percentiles by phase.
type phaseRow struct {
	Name          string
	P50, P95, P99 string
}

func (l ServiceLevel) phases() []phaseRow {
	var rows []phaseRow
	for _, ph := range phases {
		p := ph.percentiles(l)
		if p.Count == 0 {
			rows = append(rows, phaseRow{ph.name, noData, noData, noData})
			continue
		}
		rows = append(rows, phaseRow{ph.name, formatMillis(p.P50), formatMillis(p.P95), formatMillis(p.P99)})
	}
	return rows
}

// classesWithSeveralProfiles returns the classes with several profiles.
func (w *WindowReport) classesWithSeveralProfiles() []ServiceLevel {
	profiles := map[string]int{}
	for _, l := range w.Profiles {
		profiles[l.Class]++
	}
	var out []ServiceLevel
	for _, l := range w.Classes {
		if profiles[l.Class] > 1 {
			out = append(out, l)
		}
	}
	return out
}

// WriteHTML writes the report as one HTML page that refers to no other file.
func (r *Report) WriteHTML(w io.Writer) error {
	recentlyStarted := r.recentlyStarted()
	shown := recentlyStarted[:min(len(recentlyStarted), maxRecentlyStarted)]
	data := pageData{Report: r, RecentlyStarted: shown, MoreRecentlyStarted: len(recentlyStarted) - len(shown)}
	if len(r.Series) > 0 {
		plot, err := r.attainmentPlot()
		if err != nil {
			return err
		}
		data.Attainment = trustedSVG(plot)
		data.AttainmentLegend = r.attainmentLegend()
	}
	for _, s := range r.Windows {
		ps := pageSection{WindowReport: s, MultiProfileClasses: s.classesWithSeveralProfiles()}
		if len(s.Classes) > 0 {
			plot, err := s.phasePlot()
			if err != nil {
				return err
			}
			ps.Plot = trustedSVG(plot)
			ps.Legend = phaseLegend()
		}
		data.Sections = append(data.Sections, ps)
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("render report: %w", err)
	}
	return nil
}

// trustedSVG exempts a plot from the escaping of html/template. The plot library
// escapes the text inside it.
func trustedSVG(svg []byte) template.HTML {
	return template.HTML(svg)
}
