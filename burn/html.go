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
	"triple":  Percentiles.triple,
	"share":   func(s float64) string { return percent(&s) },
	"time":    func(t time.Time) string { return t.Format("2006-01-02 15:04:05Z") },
	"over":    func(l Line) bool { return l.BurnRate != nil && *l.BurnRate > 1 },
}).Parse(pageText))

// pageData is the input of the template.
type pageData struct {
	*Report
	Partial    []Included
	Attainment template.HTML
	Sections   []pageSection
}

type pageSection struct {
	Section
	Plot template.HTML
}

// WriteHTML writes the report as one page without references to other files.
func (r *Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r, Partial: r.partial()}
	if len(r.Series) > 0 {
		plot, err := r.attainmentPlot()
		if err != nil {
			return err
		}
		data.Attainment = inline(plot)
	}
	for _, s := range r.Windows {
		ps := pageSection{Section: s}
		if len(s.Classes) > 0 {
			plot, err := s.phasePlot()
			if err != nil {
				return err
			}
			ps.Plot = inline(plot)
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
