package server

// Numbers of arm64 that the platform's filter needs and package syscall lacks.
const (
	sysExecveat = 281
	sysSeccomp  = 277
	auditArch   = 0xc00000b7 // AUDIT_ARCH_AARCH64
)

// forkCalls are the system calls that always fork. arm64 has none: there, fork and vfork are
// calls of clone without CLONE_THREAD, which the filter refuses on every kind of machine.
var forkCalls []uint32
