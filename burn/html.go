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
	"percent": percent,
	"rate":    rate,
	"period":  period,
	"target":  targetText,
	"phases":  Line.phases,
	"share":   func(s float64) string { return percent(&s) },
	"time":    func(t time.Time) string { return t.Format("2006-01-02 15:04:05Z") },
	"over":    func(l Line) bool { return l.BurnRate != nil && *l.BurnRate > 1 },
}).Parse(pageText))

// pageData is the input of the template.
type pageData struct {
	*Report
	Partial []Included
	// MorePartial is the number of recently started routers beyond Partial.
	MorePartial      int
	Attainment       template.HTML
	AttainmentLegend []legendItem
	Sections         []pageSection
}

type pageSection struct {
	Section
	Plot   template.HTML
	Legend []legendItem
	// Mixed are the classes with several profiles. Those of one profile have the
	// figures of that profile.
	Mixed []Line
}

// phaseRow is one row of the table of times.
type phaseRow struct {
	Name          string
	P50, P95, P99 string
}

func (l Line) phases() []phaseRow {
	var rows []phaseRow
	for _, ph := range phases {
		p := ph.of(l)
		if p.Count == 0 {
			rows = append(rows, phaseRow{ph.name, noData, noData, noData})
			continue
		}
		rows = append(rows, phaseRow{ph.name, short(p.P50), short(p.P95), short(p.P99)})
	}
	return rows
}

// mixed returns the classes with several profiles.
func (s *Section) mixed() []Line {
	profiles := map[string]int{}
	for _, l := range s.Profiles {
		profiles[l.Class]++
	}
	var out []Line
	for _, l := range s.Classes {
		if profiles[l.Class] > 1 {
			out = append(out, l)
		}
	}
	return out
}

// WriteHTML writes the report as one page without references to other files.
func (r *Report) WriteHTML(w io.Writer) error {
	partial := r.partial()
	shown := partial[:min(len(partial), maxPartial)]
	data := pageData{Report: r, Partial: shown, MorePartial: len(partial) - len(shown)}
	if len(r.Series) > 0 {
		plot, err := r.attainmentPlot()
		if err != nil {
			return err
		}
		data.Attainment = inline(plot)
		data.AttainmentLegend = r.attainmentLegend()
	}
	for _, s := range r.Windows {
		ps := pageSection{Section: s, Mixed: s.mixed()}
		if len(s.Classes) > 0 {
			plot, err := s.phasePlot()
			if err != nil {
				return err
			}
			ps.Plot = inline(plot)
			ps.Legend = phaseLegend()
		}
		data.Sections = append(data.Sections, ps)
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("render report: %w", err)
	}
	return nil
}

// inline marks a plot as safe. The plot library escapes the text in it.
func inline(svg []byte) template.HTML {
	return template.HTML(svg)
}
