//go:build linux && (amd64 || arm64)

package server

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"millethinge/internal/config"
	"millethinge/internal/standin"
)

// In runs at full size, the platform puts each manager under a system-call filter:
// starting programs, fork, io_uring and sendfile fail with ENOSYS, splice fails with EINVAL, and
// only TCP and UDP over IPv4 are available. TestUnderPlatformFilter runs a
// manager under a filter that refuses the same, written from seccomp(2), and
// checks that it starts, serves and stops. A filter can't be removed from a
// process, so the test runs itself again as a child and filters that.

// filteredEnv is the environment variable that marks the child.
const filteredEnv = "MILLETHINGE_TEST_FILTERED"

func TestUnderPlatformFilter(t *testing.T) {
	if os.Getenv(filteredEnv) == "1" {
		runFiltered(t)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestUnderPlatformFilter$", "-test.v")
	cmd.Env = append(os.Environ(), filteredEnv+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("under the filter: %v\n%s", err, out)
	}
	t.Logf("%s", out)
}

// runFiltered installs the filter in the child and runs a manager there.
func runFiltered(t *testing.T) {
	if err := installPlatformFilter(); err != nil {
		t.Fatalf("no filter: %v", err)
	}
	// Check that the filter refuses each call before concluding that the manager
	// makes none of them.
	if _, err := net.Listen("unix", "@millethinge-test"); !errors.Is(err, syscall.EAFNOSUPPORT) {
		t.Fatalf("a Unix socket: %v, not refused", err)
	}
	if _, err := net.Listen("tcp6", "[::1]:0"); !errors.Is(err, syscall.EAFNOSUPPORT) {
		t.Fatalf("IPv6: %v, not refused", err)
	}
	if _, err := syscall.ForkExec("/bin/true", nil, nil); !errors.Is(err, syscall.ENOSYS) {
		t.Fatalf("fork: %v, not refused", err)
	}
	if _, _, errno := syscall.Syscall6(syscall.SYS_SPLICE, 0, 0, 1, 0, 1, 0); errno != syscall.EINVAL {
		t.Fatalf("splice: %v, not refused", errno)
	}
	if _, _, errno := syscall.Syscall6(sysIOURingSetup, 1, 0, 0, 0, 0, 0); errno != syscall.ENOSYS {
		t.Fatalf("io_uring: %v, not refused", errno)
	}

	// The manager listens on all addresses of the machine, which has Go check
	// first whether IPv6 is available.
	listener := loopback(t)
	node := &standin.Node{Counts: standin.NewCounts(), Decide: func(string, int) standin.Response { return standin.Response{Status: 200} }}
	go node.Serve(listener)
	mgr := startManagerWith(t, "127.0.0.1:1", memberJSON("a", listener.Addr().String(), 0), 2, "", func(cfg *config.Config) {
		cfg.Listen = "0.0.0.0:0"
	})
	conn := connect(t, mgr, false)
	for n := 1; ; n++ {
		if err := conn.send(setUpLine(3 * n)); err != nil { // clip, the billed class
			t.Fatal(err)
		}
		line, err := conn.receive()
		if err != nil {
			t.Fatal(err)
		}
		answer, err := parseReply(line)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Type == "answer" {
			return
		}
		if n == 100 {
			t.Fatalf("not served under the filter: %s", line)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// System calls and constants that package syscall lacks, and the filter's instructions. Those
// that differ between kinds of machine are in platform_linux_amd64_test.go and
// platform_linux_arm64_test.go.
const (
	sysIOURingSetup    = 425
	sysIOURingEnter    = 426
	sysIOURingRegister = 427
	sysClone3          = 435

	seccompSetModeFilter        = 1
	seccompFilterTSync          = 1
	seccompRetAllow             = 0x7fff0000
	seccompRetErrno             = 0x00050000
	prSetNoNewPrivs             = 38
	offsetNr, offsetArch        = 0, 4
	offsetArg0                  = 16 // low half, little-endian
	cloneThread                 = 0x10000
	afUnix, afInet6             = 1, 10
	bpfLdW                      = syscall.BPF_LD | syscall.BPF_W | syscall.BPF_ABS
	bpfJeq                      = syscall.BPF_JMP | syscall.BPF_JEQ | syscall.BPF_K
	bpfJset                     = syscall.BPF_JMP | syscall.BPF_JSET | syscall.BPF_K
	bpfRet                      = syscall.BPF_RET | syscall.BPF_K
	retENOSYS, retEINVAL        = seccompRetErrno | uint32(syscall.ENOSYS), seccompRetErrno | uint32(syscall.EINVAL)
	retEAFNOSUPPORT             = seccompRetErrno | uint32(syscall.EAFNOSUPPORT)
	retAllow             uint32 = seccompRetAllow
)

// installPlatformFilter filters all present and future threads of the process.
func installPlatformFilter() error {
	var instructions []syscall.SockFilter
	emit := func(code uint16, jt, jf uint8, k uint32) {
		instructions = append(instructions, syscall.SockFilter{Code: code, Jt: jt, Jf: jf, K: k})
	}
	refused := map[uint32]uint32{
		syscall.SYS_EXECVE: retENOSYS, sysExecveat: retENOSYS, sysClone3: retENOSYS,
		sysIOURingSetup: retENOSYS, sysIOURingEnter: retENOSYS, sysIOURingRegister: retENOSYS,
		syscall.SYS_SENDFILE: retENOSYS, syscall.SYS_SPLICE: retEINVAL,
	}
	for _, nr := range forkCalls {
		refused[nr] = retENOSYS
	}
	emit(bpfLdW, 0, 0, offsetArch)
	emit(bpfJeq, 1, 0, auditArch)
	emit(bpfRet, 0, 0, retAllow)
	emit(bpfLdW, 0, 0, offsetNr)
	for nr, ret := range refused {
		emit(bpfJeq, 0, 1, nr)
		emit(bpfRet, 0, 0, ret)
	}
	// clone is allowed for threads (glibc falls back to it when clone3 is
	// refused); without CLONE_THREAD it is a fork.
	emit(bpfJeq, 0, 4, syscall.SYS_CLONE)
	emit(bpfLdW, 0, 0, offsetArg0)
	emit(bpfJset, 1, 0, cloneThread)
	emit(bpfRet, 0, 0, retENOSYS)
	emit(bpfRet, 0, 0, retAllow)
	emit(bpfJeq, 0, 4, syscall.SYS_SOCKET)
	emit(bpfLdW, 0, 0, offsetArg0)
	emit(bpfJeq, 1, 0, afUnix)
	emit(bpfJeq, 0, 1, afInet6)
	emit(bpfRet, 0, 0, retEAFNOSUPPORT)
	emit(bpfRet, 0, 0, retAllow)

	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRCTL, prSetNoNewPrivs, 1, 0, 0, 0, 0); errno != 0 {
		return errno
	}
	filterProgram := syscall.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	if _, _, errno := syscall.RawSyscall(sysSeccomp, seccompSetModeFilter, seccompFilterTSync, uintptr(unsafe.Pointer(&filterProgram))); errno != 0 {
		return errno
	}
	return nil
}
