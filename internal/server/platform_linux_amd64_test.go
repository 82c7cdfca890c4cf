package server

import "syscall"

// Numbers of x86-64 that the platform's filter needs and package syscall lacks.
const (
	sysExecveat = 322
	sysSeccomp  = 317
	auditArch   = 0xc000003e // AUDIT_ARCH_X86_64
)

// forkCalls are the system calls that always fork.
var forkCalls = []uint32{syscall.SYS_FORK, syscall.SYS_VFORK}
