package carry

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/agreed"
)

// mostFrame bounds a frame: two documents and what stands round them.
const mostFrame = 2*agreed.MaxDocumentBytes + 64<<10

// FrameTooLongError is a frame of more bytes than any message has. Its connection is closed.
type FrameTooLongError struct{ Bytes, Limit int }

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("a frame of %d bytes, where the most is %d", e.Bytes, e.Limit)
}

// UnknownManagerError is a connection by a manager that the fleet does not name.
type UnknownManagerError struct{ Name string }

func (e *UnknownManagerError) Error() string {
	return fmt.Sprintf("%q is no manager of this fleet: name it in every manager's file", e.Name)
}

// frame appends b after its length, four bytes.
func frame(to, b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(to, uint32(len(b))), b...)
}

func readFrame(r io.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > most {
		return nil, &FrameTooLongError{n, most}
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}

// accept takes connections in, as many as the fleet can need.
func (k *Runner) accept(ctx context.Context, g *errgroup.Group) error {
	var open atomic.Int64
	for {
		conn, err := k.c.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			k.c.Log.Warn("agreement: accept", zap.Error(err))
			time.Sleep(pause) // no descriptors, most likely: there may be some again
			continue
		}
		if open.Add(1) > int64(2*len(k.c.Addresses)+strangers) {
			open.Add(-1)
			conn.Close()
			continue
		}
		g.Go(func() error {
			defer open.Add(-1)
			if err := k.listen(ctx, conn); ctx.Err() == nil && !errors.Is(err, io.EOF) {
				k.c.Log.Warn("agreement: connection", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
			}
			return nil
		})
	}
}

// listen reads one manager's messages until its connection ends.
func (k *Runner) listen(ctx context.Context, conn net.Conn) error {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	r := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(helloTime))
	hello, err := readFrame(r, 256)
	if err != nil {
		return err
	}
	name := string(hello)
	if _, ok := k.c.Addresses[name]; !ok || name == k.c.Machine.Name {
		return &UnknownManagerError{name}
	}
	conn.SetReadDeadline(time.Time{})
	for {
		b, err := readFrame(r, mostFrame)
		if err != nil {
			return err
		}
		if !k.events.Put(agreed.Event{Kind: agreed.EventMessage, From: name, Bytes: b}) {
			k.dropped.Add(1)
		}
	}
}
