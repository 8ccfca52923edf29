package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/httpserver"
)

const (
	// zoneRoundTrip is the round trip between availability zones.
	zoneRoundTrip = 3 * time.Millisecond
	// writeSize is the number of bytes that a rate-limited peer writes at a time.
	writeSize = 8 << 10

	transferTimeout     = 30 * time.Second
	transferRepetitions = 9
)

// Link is the network between the peers of a transfer and the process that
// fetches the catalog.
type Link struct {
	Name string
	// RoundTrip delays each answer, and each new connection by as much again.
	RoundTrip time.Duration
	// Rate of each peer in bytes per second; zero means unlimited.
	Rate int
	// SlowRate replaces Rate at the first peer that receives a request.
	SlowRate int
}

// Links returns the network conditions that are measured.
func Links() []Link {
	return []Link{
		{Name: "loopback"},
		{Name: "3 ms round trip, 125 MB/s", RoundTrip: zoneRoundTrip, Rate: 125 << 20},
		{Name: "3 ms round trip, 5 MB/s", RoundTrip: zoneRoundTrip, Rate: 5 << 20},
		{Name: "3 ms round trip, 125 MB/s, first peer 500 KB/s", RoundTrip: zoneRoundTrip, Rate: 125 << 20, SlowRate: 500 << 10},
	}
}

// Transfer is the result of one method to fetch the catalog from peers at
// startup, while the store is down.
type Transfer struct {
	Link   string `json:"link"`
	Method string `json:"way"`
	// Median, Min and Max are milliseconds until the complete document has arrived.
	Median float64 `json:"median_ms"`
	Min    float64 `json:"least_ms"`
	Max    float64 `json:"most_ms"`
	// Bytes is the mean of the bytes that the starting process reads and writes.
	Bytes float64 `json:"bytes"`
}

type transferMethod struct {
	name  string
	fetch func(context.Context, *http.Client, []string, int) error
}

// MeasureTransfers compares methods to fetch the catalog of the planned number
// of client accounts from up to catalog.StartupPeerCount peers. Decoding is not
// included.
func MeasureTransfers() ([]Transfer, error) {
	body, err := catalog.Encode(Catalog(plannedAccounts))
	if err != nil {
		return nil, err
	}
	methods := []transferMethod{
		{"whole from one peer", fetchOne},
		{"whole from each of 8 peers, first answer counts", fetchEach},
		{"one block from each of 8 peers", fetchBlocks},
	}
	var results []Transfer
	for _, link := range Links() {
		for _, method := range methods {
			t, err := measureTransfer(link, method, body)
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", link.Name, method.name, err)
			}
			results = append(results, t)
		}
	}
	return results, nil
}

func measureTransfer(link Link, method transferMethod, body []byte) (Transfer, error) {
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	peers, wait, err := startPeers(ctx, link, body)
	if err != nil {
		return Transfer{}, err
	}
	defer wait()
	defer stop()
	var elapsedMS []float64
	counter := &TrafficCounter{}
	for range transferRepetitions {
		// A starting process has no open connections.
		client := counter.Client(1)
		start := time.Now()
		if err := method.fetch(ctx, client, peers, len(body)); err != nil {
			return Transfer{}, err
		}
		elapsedMS = append(elapsedMS, time.Since(start).Seconds()*1000)
		client.CloseIdleConnections()
	}
	t := Transfer{Link: link.Name, Method: method.name, Median: Median(elapsedMS)}
	t.Min, t.Max = minMax(elapsedMS)
	t.Bytes = float64(counter.Traffic().Bytes()) / transferRepetitions
	return t, nil
}

func minMax(values []float64) (lowest, highest float64) {
	lowest, highest = values[0], values[0]
	for _, v := range values {
		lowest, highest = min(lowest, v), max(highest, v)
	}
	return lowest, highest
}

func startPeers(ctx context.Context, link Link, body []byte) (urls []string, wait func(), err error) {
	var group errgroup.Group
	for i := range catalog.StartupPeerCount {
		rate := link.Rate
		if i == 0 && link.SlowRate > 0 {
			rate = link.SlowRate
		}
		server, err := httpserver.Listen("peer", loopbackAddress, &transferPeer{link: link, rate: rate, body: body}, nil)
		if err != nil {
			return nil, nil, err
		}
		group.Go(func() error { return server.Serve(ctx) })
		urls = append(urls, "http://"+server.Address())
	}
	return urls, func() { _ = group.Wait() }, nil
}

// transferPeer serves the byte range [from, to) given by the query parameters of
// the same names.
type transferPeer struct {
	link Link
	rate int
	body []byte
}

// ServeHTTP delays the answer by two round trips of the link. Each transfer uses
// one connection per peer, so the round trip of connecting is charged to the
// first request.
func (p *transferPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	to, err := strconv.Atoi(r.URL.Query().Get("to"))
	if err != nil {
		to = len(p.body)
	}
	time.Sleep(2 * p.link.RoundTrip)
	part := p.body[from:to]
	w.Header().Set("Content-Length", strconv.Itoa(len(part)))
	due := time.Now()
	for len(part) > 0 {
		n := min(writeSize, len(part))
		if p.rate > 0 {
			due = due.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
			time.Sleep(time.Until(due))
		}
		if _, err := w.Write(part[:n]); err != nil {
			return
		}
		part = part[n:]
	}
}

func fetchPart(ctx context.Context, client *http.Client, peer string, from, to int) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/?from=%d&to=%d", peer, from, to), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && len(body) != to-from {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func fetchOne(ctx context.Context, client *http.Client, peers []string, size int) error {
	_, err := fetchPart(ctx, client, peers[0], 0, size)
	return err
}

// fetchEach requests the complete document from every peer and uses the first
// answer to arrive, as package catalog does.
func fetchEach(ctx context.Context, client *http.Client, peers []string, size int) error {
	first := make(chan error, len(peers))
	for _, peer := range peers {
		go func() {
			_, err := fetchPart(ctx, client, peer, 0, size)
			first <- err
		}()
	}
	return <-first
}

// fetchBlocks fetches an equal block of the document from each peer. The first
// request stands for the query of the version and size that a transfer in blocks
// needs.
func fetchBlocks(ctx context.Context, client *http.Client, peers []string, size int) error {
	if _, err := fetchPart(ctx, client, peers[0], 0, 1); err != nil {
		return err
	}
	parts := make([][]byte, len(peers))
	var group errgroup.Group
	for i, peer := range peers {
		group.Go(func() (err error) {
			parts[i], err = fetchPart(ctx, client, peer, i*size/len(peers), (i+1)*size/len(peers))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if got := len(bytes.Join(parts, nil)); got != size {
		return fmt.Errorf("the blocks have %d bytes, want %d", got, size)
	}
	return nil
}
