package burn

import (
	"cmp"
	"slices"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// Counts holds the numbers of requests of one row.
type Counts struct {
	// Requests is the number of all requests.
	Requests int64 `json:"requests"`
	// Met and Missed are the requests that count towards attainment.
	Met    int64 `json:"met"`
	Missed int64 `json:"missed"`
	// Ran, NotRun and Unknown are the requests by execution state.
	Ran     int64 `json:"ran"`
	NotRun  int64 `json:"not_run"`
	Unknown int64 `json:"unknown"`
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Met += o.Met
	c.Missed += o.Missed
	c.Ran += o.Ran
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
}

// CodeCount is the number of requests that ended with a result code.
type CodeCount struct {
	Code  resultcode.Code `json:"code"`
	Count int64           `json:"count"`
}

// Row holds the figures of one profile in one window.
type Row struct {
	Profile string `json:"profile"`
	Class   string `json:"class"`
	Tier    int    `json:"tier"`
	// Target is the target of the latest request.
	Target catalog.Target `json:"target,omitzero"`
	Counts
	// Codes lists the result codes of failures, most frequent first.
	Codes      []CodeCount `json:"codes,omitempty"`
	Queue      Histogram   `json:"queue"`
	FirstToken Histogram   `json:"first_token"`
	InterToken Histogram   `json:"inter_token"`
	Whole      Histogram   `json:"whole"`
}

func (r *Row) record(s *Sample) {
	r.Tier = s.Tier
	r.Target = s.Target
	r.Counts.add(countsOf(s))
	if s.Code != 0 {
		r.addCode(s.Code, 1)
	}
	if s.Started {
		r.Queue.Add(s.Queue)
	}
	if s.FirstToken > 0 {
		r.FirstToken.Add(s.FirstToken)
	}
	if s.InterToken != nil {
		r.InterToken.Merge(&s.InterToken.histogram)
	}
	if s.Code == 0 {
		r.Whole.Add(s.Whole)
	}
}

func countsOf(s *Sample) Counts {
	c := Counts{Requests: 1}
	switch s.targetOutcome() {
	case met:
		c.Met = 1
	case missed:
		c.Missed = 1
	}
	switch s.Execution {
	case resultcode.Ran:
		c.Ran = 1
	case resultcode.Unknown:
		c.Unknown = 1
	default:
		c.NotRun = 1
	}
	return c
}

func (r *Row) addCode(code resultcode.Code, n int64) {
	for i := range r.Codes {
		if r.Codes[i].Code == code {
			r.Codes[i].Count += n
			return
		}
	}
	r.Codes = append(r.Codes, CodeCount{Code: code, Count: n})
}

func (r *Row) merge(o *Row) {
	r.Tier = o.Tier
	r.Target = o.Target
	r.Counts.add(o.Counts)
	for _, c := range o.Codes {
		r.addCode(c.Code, c.Count)
	}
	r.Queue.Merge(&o.Queue)
	r.FirstToken.Merge(&o.FirstToken)
	r.InterToken.Merge(&o.InterToken)
	r.Whole.Merge(&o.Whole)
}

func (r *Row) sortCodes() {
	slices.SortFunc(r.Codes, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code))
	})
}

// EndpointCounts counts the requests whose last attempt went to one endpoint.
type EndpointCounts struct {
	Name     string `json:"name"`
	Requests int64  `json:"requests"`
	// Met and Missed are the requests that count towards attainment.
	Met    int64 `json:"met"`
	Missed int64 `json:"missed"`
	// Failed are the requests with a code from 3000 to 3999.
	Failed int64 `json:"failed"`
}

func (e *EndpointCounts) record(s *Sample) {
	c := countsOf(s)
	e.Requests++
	e.Met += c.Met
	e.Missed += c.Missed
	if causedByEndpoint(s.Code) {
		e.Failed++
	}
}

func (e *EndpointCounts) merge(o *EndpointCounts) {
	e.Requests += o.Requests
	e.Met += o.Met
	e.Missed += o.Missed
	e.Failed += o.Failed
}

const (
	// maxRows limits the profiles of an aggregate; further ones are counted as Other.
	maxRows = 64
	// maxEndpoints limits the endpoints of an aggregate; further ones are counted as
	// Other.
	maxEndpoints = 1024
	// Other is the name under which profiles, classes and endpoints beyond the limits
	// are counted.
	Other = "(other)"
)

type rowKey struct{ profile, class string }

// aggregate sums the requests of one period by profile and by endpoint.
type aggregate struct {
	rows      map[rowKey]*Row
	endpoints map[string]*EndpointCounts
}

func newAggregate() *aggregate {
	return &aggregate{rows: map[rowKey]*Row{}, endpoints: map[string]*EndpointCounts{}}
}

// sizeWithout returns the number of entries of m without the entry other.
func sizeWithout[K comparable, V any](m map[K]V, other K) int {
	if _, ok := m[other]; ok {
		return len(m) - 1
	}
	return len(m)
}

// row returns the row of a profile, or the row Other beyond maxRows.
func (g *aggregate) row(profile, class string) *Row {
	key := rowKey{profile, class}
	if r, ok := g.rows[key]; ok {
		return r
	}
	other := rowKey{Other, Other}
	if sizeWithout(g.rows, other) >= maxRows {
		key = other
	}
	r, ok := g.rows[key]
	if !ok {
		r = &Row{Profile: key.profile, Class: key.class}
		g.rows[key] = r
	}
	return r
}

// endpoint returns the counts of an endpoint, or those of Other beyond
// maxEndpoints.
func (g *aggregate) endpoint(name string) *EndpointCounts {
	if e, ok := g.endpoints[name]; ok {
		return e
	}
	if sizeWithout(g.endpoints, Other) >= maxEndpoints {
		name = Other
	}
	e, ok := g.endpoints[name]
	if !ok {
		e = &EndpointCounts{Name: name}
		g.endpoints[name] = e
	}
	return e
}

func (g *aggregate) record(s *Sample) {
	g.row(s.Profile, s.Class).record(s)
	if s.Endpoint != "" {
		g.endpoint(s.Endpoint).record(s)
	}
}

func (g *aggregate) merge(o *aggregate) {
	for _, r := range o.rows {
		g.row(r.Profile, r.Class).merge(r)
	}
	for _, e := range o.endpoints {
		g.endpoint(e.Name).merge(e)
	}
}

// sortedRows returns the rows sorted by tier, class and profile.
func (g *aggregate) sortedRows() []Row {
	out := make([]Row, 0, len(g.rows))
	for _, r := range g.rows {
		r.sortCodes()
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Profile, b.Profile))
	})
	return out
}

func (g *aggregate) sortedEndpoints() []EndpointCounts {
	out := make([]EndpointCounts, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b EndpointCounts) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
