package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// site returns a fleet of n engines with the loads of the given number of peers, each
// of which has requests at up to 50 engines.
func site(n, peers int) *Fleet {
	f := newPool(n)
	for p := range peers {
		f.PeerLoads(start, fmt.Sprint("peer-", p), peerStatement(n, p))
	}
	return f
}

// peerStatement returns the loads of one peer at up to 50 of n engines.
func peerStatement(n, peer int) map[uint64]Load {
	loads := make(map[uint64]Load)
	for i := range min(n, 50) {
		id := fmt.Sprintf("engine-%d", (peer*37+i*7)%n)
		loads[Hash(id)] = Load{Running: 1, Prefill: 100, Memory: 1000}
	}
	return loads
}

// BenchmarkChoose measures the choice of one endpoint at sites of several sizes.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ engines, gateways int }{{12, 5}, {100, 70}, {600, 410}} {
		b.Run(fmt.Sprintf("%d_engines_%d_gateways", size.engines, size.gateways), func(b *testing.B) {
			f := site(size.engines, size.gateways-1)
			w := planWork(77)
			for b.Loop() {
				if _, ok := f.Choose(start, w); !ok {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}

// BenchmarkChooseZone measures the choice between zones with features.zone_spill against the
// choice without it, also while all requests leave the zone.
func BenchmarkChooseZone(b *testing.B) {
	for _, size := range []struct{ engines, gateways int }{{54, 29}, {600, 410}} {
		for _, mode := range []string{"off", "on", "on_overloaded"} {
			b.Run(fmt.Sprintf("%d_engines_%d_gateways_%s", size.engines, size.gateways, mode), func(b *testing.B) {
				f := site(size.engines, size.gateways-1)
				for i := range size.engines {
					e := f.endpoints[fmt.Sprintf("engine-%d", i)].Endpoint
					e.Zone = fmt.Sprint("zone-", i%siteZones)
					f.Put(e)
					if mode == "on_overloaded" && e.Zone == "zone-0" {
						f.endpoints[e.ID].ownLoad.Running = 100_000
					}
				}
				f.zone = "zone-0"
				if mode != "off" {
					f.SetZoneSpill(ZoneSpillOptions{Rand: rand.New(rand.NewPCG(1, 2)), Price: DefaultZonePrice})
				}
				w, now := planWork(77), start
				for b.Loop() {
					now = now.Add(time.Millisecond)
					if _, ok := f.Choose(now, w); !ok {
						b.Fatal("no endpoint")
					}
				}
			})
		}
	}
}

// BenchmarkPeerLoads measures the processing of one load statement of a peer.
func BenchmarkPeerLoads(b *testing.B) {
	for _, engines := range []int{12, 100, 600} {
		b.Run(fmt.Sprintf("%d_engines", engines), func(b *testing.B) {
			f := site(engines, 1)
			statements := []map[uint64]Load{peerStatement(engines, 0), peerStatement(engines, 1)}
			i := 0
			for b.Loop() {
				f.PeerLoads(start.Add(time.Duration(i)), "peer-0", statements[i%2])
				i++
			}
		})
	}
}
