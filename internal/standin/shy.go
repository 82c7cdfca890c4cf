package standin

import (
	"cmp"
	"net"
	"syscall"
	"time"
)

// FillAcceptQueue fills a listener's queue: what connects to it hears nothing, and comes up only once
// it is served, a second or so later, when the first packet is sent again. The returned
// function closes what fills it.
func FillAcceptQueue(l *net.TCPListener) (end func(), err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var set error
	if err := raw.Control(func(fd uintptr) { set = syscall.Listen(int(fd), 0) }); err != nil || set != nil {
		return nil, cmp.Or(err, set)
	}
	var filling []net.Conn
	for range 2 {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond); err == nil {
			filling = append(filling, c)
		}
	}
	return func() {
		for _, c := range filling {
			c.Close()
		}
	}, nil
}
