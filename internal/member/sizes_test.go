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

var fleetSize = flag.Int("sizes", 0, "measure a fleet of so many members in this process")

// TestSizes measures what a fleet of members in one process costs each: bytes a second
// sent, memory, descriptors, processor time, and how long the fleet takes to meet, to
// notice that one is gone, and to know all of one that leaves. Its figures are the
// machine's; it fails only where the fleet doesn't settle.
func TestSizes(t *testing.T) {
	if *fleetSize == 0 {
		t.Skip("with -sizes N only")
	}
	n := *fleetSize
	var configured []ConfiguredMember
	for i := range n {
		configured = append(configured, ConfiguredMember{fmt.Sprintf("m%03d", i), "s"})
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fds := openDescriptors()
	configOf := func(i int) Config {
		return Config{Self: Meta{Name: configured[i].Name, Site: "s"}, ConfiguredMembers: configured, EncryptionKeys: [][]byte{[]byte(strings.Repeat("k", 16))}}
	}
	began := time.Now()
	all := []*testMember{startMember(t, configOf(0))}
	for i := 1; i < n; i++ {
		c := configOf(i)
		c.JoinAddresses = []string{all[0].Addr()}
		all = append(all, startMember(t, c))
	}
	allSee := func(want int, members []*testMember) func() bool {
		return func() bool {
			for _, m := range members {
				if m.View().PresentCount != want {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "all in view", allSee(n, all))
	t.Logf("%d members met in %v", n, time.Since(began).Round(10*time.Millisecond))
	time.Sleep(20 * time.Second) // what the start set off has been passed on
	sent := func() (datagrams, bytes, streamed int64) {
		for _, m := range all {
			c := m.Traffic()
			datagrams, bytes, streamed = datagrams+c.DatagramsSent.Load(), bytes+c.DatagramBytesSent.Load(), streamed+c.ConnectionBytes.Load()
		}
		return
	}
	p0, b0, s0 := sent()
	cpu := cpuTime()
	const measureS = 30
	time.Sleep(measureS * time.Second)
	p1, b1, s1 := sent()
	perMemberS := func(v int64) float64 { return float64(v) / measureS / float64(n) }
	cpuSpent := cpuTime() - cpu
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("each, at rest: %.1f datagrams and %.0f bytes a second, and %.0f on connections; %.0f kB of heap and stacks; %.1f descriptors; %.2f%% of a processor; %d goroutines",
		perMemberS(p1-p0), perMemberS(b1-b0), perMemberS(s1-s0), float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024/float64(n),
		float64(openDescriptors()-fds)/float64(n), 100*cpuSpent.Seconds()/measureS/float64(n), runtime.NumGoroutine()/n)
	began = time.Now()
	all[n-1].stop()
	waitUntil(t, "one lost", allSee(n-1, all[:n-1]))
	t.Logf("one lost: known to all after %v", time.Since(began).Round(10*time.Millisecond))
	began = time.Now()
	all[n-2].Leave()
	waitUntil(t, "one left", allSee(n-2, all[:n-2]))
	t.Logf("one left: known to all after %v", time.Since(began).Round(10*time.Millisecond))
	var end sync.WaitGroup // side by side: one after the other each would be noticed
	for _, m := range all {
		end.Go(m.stop)
	}
	end.Wait()
}

func openDescriptors() int {
	l, _ := os.ReadDir("/proc/self/fd")
	return len(l)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
