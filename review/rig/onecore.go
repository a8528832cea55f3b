package main

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// cpuSet is the set of processors that a thread may use.
type cpuSet [16]uint64

func affinity(call uintptr, s *cpuSet) error {
	if _, _, e := syscall.RawSyscall(call, 0, unsafe.Sizeof(*s), uintptr(unsafe.Pointer(s))); e != 0 {
		return e
	}
	return nil
}

// startOnOneCore starts a process that sees one core, as on the machines of DEPLOY.md ("the processor list report the
// machine's memory and one core"); n chooses the core.
func startOnOneCore(cmd *exec.Cmd, n int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one cpuSet
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}
	var cores []int
	for i := range len(all) * 64 {
		if all[i/64]&(1<<(i%64)) != 0 {
			cores = append(cores, i)
		}
	}
	c := cores[n%len(cores)]
	one[c/64] = 1 << (c % 64)
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return err
	}
	defer func() { _ = affinity(syscall.SYS_SCHED_SETAFFINITY, &all) }()
	return cmd.Start()
}
