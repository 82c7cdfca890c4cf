package member

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var sizes = flag.Int("sizes", 0, "measure a fleet of so many members in this process")

// TestSizes measures what a fleet of members in one process costs each: bytes a second
// sent, memory, descriptors, processor time, and how long the fleet takes to meet, to
// notice that one is gone, and to know all of one that leaves. Its figures are the
// machine's; it fails only where the fleet doesn't settle.
func TestSizes(t *testing.T) {
	if *sizes == 0 {
		t.Skip("with -sizes N only")
	}
	n := *sizes
	var named []ConfiguredMember
	for i := range n {
		named = append(named, ConfiguredMember{fmt.Sprintf("m%03d", i), "s"})
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fds := descriptors()
	cfg := func(i int) Config {
		return Config{Self: Meta{Name: named[i].Name, Site: "s"}, ConfiguredMembers: named, EncryptionKeys: [][]byte{[]byte(strings.Repeat("k", 16))}}
	}
	began := time.Now()
	all := []*heard{runs(t, cfg(0))}
	for i := 1; i < n; i++ {
		c := cfg(i)
		c.JoinAddresses = []string{all[0].Addr()}
		all = append(all, runs(t, c))
	}
	whole := func(want int, who []*heard) func() bool {
		return func() bool {
			for _, h := range who {
				if h.View().PresentCount != want {
					return false
				}
			}
			return true
		}
	}
	until(t, "all in view", whole(n, all))
	t.Logf("%d members met in %v", n, time.Since(began).Round(10*time.Millisecond))
	time.Sleep(20 * time.Second) // what the start set off has been passed on
	sent := func() (datagrams, bytes, streamed int64) {
		for _, h := range all {
			c := h.Traffic()
			datagrams, bytes, streamed = datagrams+c.DatagramsSent.Load(), bytes+c.DatagramBytesSent.Load(), streamed+c.ConnectionBytes.Load()
		}
		return
	}
	p0, b0, s0 := sent()
	cpu := used()
	const over = 30
	time.Sleep(over * time.Second)
	p1, b1, s1 := sent()
	each := func(v int64) float64 { return float64(v) / over / float64(n) }
	spent := used() - cpu
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("each, at rest: %.1f datagrams and %.0f bytes a second, and %.0f on connections; %.0f kB of heap and stacks; %.1f descriptors; %.2f%% of a processor; %d goroutines",
		each(p1-p0), each(b1-b0), each(s1-s0), float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024/float64(n),
		float64(descriptors()-fds)/float64(n), 100*spent.Seconds()/over/float64(n), runtime.NumGoroutine()/n)
	began = time.Now()
	all[n-1].stop()
	until(t, "one lost", whole(n-1, all[:n-1]))
	t.Logf("one lost: known to all after %v", time.Since(began).Round(10*time.Millisecond))
	began = time.Now()
	all[n-2].Leave()
	until(t, "one left", whole(n-2, all[:n-2]))
	t.Logf("one left: known to all after %v", time.Since(began).Round(10*time.Millisecond))
	var end sync.WaitGroup // side by side: one after the other each would be noticed
	for _, h := range all {
		end.Go(h.stop)
	}
	end.Wait()
}

func descriptors() int {
	l, _ := os.ReadDir("/proc/self/fd")
	return len(l)
}

func used() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
