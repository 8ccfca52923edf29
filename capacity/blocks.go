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
	// sendPiece is what a limited peer sends at once.
	sendPiece = 8 << 10

	transferTimeout     = 30 * time.Second
	transferRepetitions = 9
)

// Link is how the peers of a transfer answer.
type Link struct {
	Name string
	// RoundTrip delays each answer, and each new connection by as much again.
	RoundTrip time.Duration
	// Rate of each peer in bytes per second; zero means unlimited.
	Rate int
	// SlowRate replaces Rate at the first peer that is asked.
	SlowRate int
}

// Links are the cases that are measured.
func Links() []Link {
	return []Link{
		{Name: "loopback"},
		{Name: "3 ms round trip, 125 MB/s", RoundTrip: zoneRoundTrip, Rate: 125 << 20},
		{Name: "3 ms round trip, 5 MB/s", RoundTrip: zoneRoundTrip, Rate: 5 << 20},
		{Name: "3 ms round trip, 125 MB/s, first peer 500 KB/s", RoundTrip: zoneRoundTrip, Rate: 125 << 20, SlowRate: 500 << 10},
	}
}

// Transfer is one way to get the catalog at the start, while the store is down.
type Transfer struct {
	Link string `json:"link"`
	Way  string `json:"way"`
	// Median, Least and Most are milliseconds until the document is whole.
	Median float64 `json:"median_ms"`
	Least  float64 `json:"least_ms"`
	Most   float64 `json:"most_ms"`
	// Bytes are read and written by the process that starts.
	Bytes float64 `json:"bytes"`
}

type transferWay struct {
	name string
	get  func(context.Context, *http.Client, []string, int) error
}

// Transfers compares ways to fetch the catalog of the planned client accounts
// from up to catalog.StartPeers peers. Decoding it is not included.
func Transfers() ([]Transfer, error) {
	body, err := catalog.Encode(Catalog(plannedAccounts))
	if err != nil {
		return nil, err
	}
	ways := []transferWay{
		{"whole from one peer", fetchOne},
		{"whole from each of 8 peers, first answer counts", fetchEach},
		{"one block from each of 8 peers", fetchBlocks},
	}
	var results []Transfer
	for _, link := range Links() {
		for _, way := range ways {
			t, err := transfer(link, way, body)
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", link.Name, way.name, err)
			}
			results = append(results, t)
		}
	}
	return results, nil
}

func transfer(link Link, way transferWay, body []byte) (Transfer, error) {
	ctx, stop := context.WithTimeout(context.Background(), transferTimeout)
	defer stop()
	peers, wait, err := startPeers(ctx, link, body)
	if err != nil {
		return Transfer{}, err
	}
	defer wait()
	defer stop()
	var took []float64
	wire := &Wire{}
	for range transferRepetitions {
		// A process that starts has no connections yet.
		client := wire.Client(1)
		began := time.Now()
		if err := way.get(ctx, client, peers, len(body)); err != nil {
			return Transfer{}, err
		}
		took = append(took, time.Since(began).Seconds()*1000)
		client.CloseIdleConnections()
	}
	t := Transfer{Link: link.Name, Way: way.name, Median: Median(took)}
	t.Least, t.Most = bounds(took)
	t.Bytes = float64(wire.Traffic().Bytes()) / transferRepetitions
	return t, nil
}

func bounds(values []float64) (least, most float64) {
	least, most = values[0], values[0]
	for _, v := range values {
		least, most = min(least, v), max(most, v)
	}
	return least, most
}

func startPeers(ctx context.Context, link Link, body []byte) (urls []string, wait func(), err error) {
	var group errgroup.Group
	for i := range catalog.StartupPeerCount {
		rate := link.Rate
		if i == 0 && link.SlowRate > 0 {
			rate = link.SlowRate
		}
		server, err := httpserver.Listen("peer", loopback, &transferPeer{link: link, rate: rate, body: body}, nil)
		if err != nil {
			return nil, nil, err
		}
		group.Go(func() error { return server.Serve(ctx) })
		urls = append(urls, "http://"+server.Address())
	}
	return urls, func() { _ = group.Wait() }, nil
}

// transferPeer answers with the bytes from the query's from up to to.
type transferPeer struct {
	link Link
	rate int
	body []byte
}

// ServeHTTP delays the answer by the link. Each transfer uses one connection
// per peer, so the round trip of connecting is added to the first request.
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
		n := min(sendPiece, len(part))
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

// fetchEach is what package catalog does: all peers are asked for the document,
// and the first one that arrives is adopted.
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

// fetchBlocks asks one peer for the version and the size, as a transfer in
// blocks has to, and then each peer for its share.
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
