package standin

import (
	"cmp"
	"net"
	"syscall"
	"time"
)

// FillAcceptQueue fills a listener's accept queue: further connections get no answer, and are
// established only once the listener accepts again, a second or so later, when the kernel repeats
// the first packet. The returned function closes the connections that fill the queue.
func FillAcceptQueue(l *net.TCPListener) (closeFillers func(), err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return nil, cmp.Or(err, listenErr)
	}
	var fillers []net.Conn
	for range 2 {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond); err == nil {
			fillers = append(fillers, c)
		}
	}
	return func() {
		for _, c := range fillers {
			c.Close()
		}
	}, nil
}
