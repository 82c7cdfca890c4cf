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

var fleetSize = flag.Int("sizes", 0, "number of members of the fleet to measure in this process")

// TestSizes measures the costs of each member of a fleet in one process: bytes sent a second,
// memory, file descriptors and CPU time. It also measures how long it takes until all members
// know of each other, of a lost member, and of a member that leaves. The figures depend on the
// machine; the test fails only if the members do not reach the expected view.
func TestSizes(t *testing.T) {
	if *fleetSize == 0 {
		t.Skip("runs only with -sizes N")
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
	waitUntil(t, "all present", allSee(n, all))
	t.Logf("%d members: all present after %v", n, time.Since(began).Round(10*time.Millisecond))
	time.Sleep(20 * time.Second) // until the gossip that the start caused has ended
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
	t.Logf("each member in steady state: %.1f datagrams and %.0f datagram bytes a second, %.0f connection bytes a second; %.0f kB of heap and stacks; %.1f file descriptors; %.2f%% of a CPU; %d goroutines",
		perMemberS(p1-p0), perMemberS(b1-b0), perMemberS(s1-s0), float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024/float64(n),
		float64(openDescriptors()-fds)/float64(n), 100*cpuSpent.Seconds()/measureS/float64(n), runtime.NumGoroutine()/n)
	began = time.Now()
	all[n-1].stop()
	waitUntil(t, "one lost", allSee(n-1, all[:n-1]))
	t.Logf("member lost: known to all after %v", time.Since(began).Round(10*time.Millisecond))
	began = time.Now()
	all[n-2].Leave()
	waitUntil(t, "one left", allSee(n-2, all[:n-2]))
	t.Logf("member left: known to all after %v", time.Since(began).Round(10*time.Millisecond))
	var end sync.WaitGroup // concurrently: otherwise the others would detect each loss
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
