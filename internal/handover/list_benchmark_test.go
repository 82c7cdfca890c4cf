package handover

import (
	"fmt"
	"testing"
	"time"

	"millethinge/internal/directory"
)

// BenchmarkList measures how long it takes to store a list of media nodes and to read it.
func BenchmarkList(b *testing.B) {
	for _, nodes := range []int{200, 3200} {
		list := directory.Snapshot{Index: 41, ReceivedAt: time.Unix(8, 5)}
		for i := range nodes {
			list.Nodes = append(list.Nodes, directory.Node{ID: fmt.Sprintf("s-%08x", i), HostPort: fmt.Sprintf("10.1.%d.%d:5060", i/256, i%256),
				Locality: "hall-a", Flavor: "node-2c", Cell: i / 10, Phase: "in_service", Size: 4})
		}
		folder, err := Open(b.TempDir(), "n1", "127.0.0.1:5060")
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("store/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				if err := folder.StoreList(list); err != nil {
					b.Fatal(err)
				}
			}
		})
		data, err := encode(envelope[directory.Snapshot]{"n1", "127.0.0.1:5060", list})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("decode/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				if _, reason := decode[directory.Snapshot](data, "n1", "127.0.0.1:5060"); reason != "" {
					b.Fatal(reason)
				}
			}
			b.ReportMetric(float64(len(data)), "file-bytes")
		})
	}
}
