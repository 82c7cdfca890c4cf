package runner

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

	"millethinge/internal/agreement"
)

// maxFrameBytes bounds a frame: two documents and the fields around them.
const maxFrameBytes = 2*agreement.MaxDocumentBytes + 64<<10

// FrameTooLongError reports a frame that is longer than any message. Its connection is closed.
type FrameTooLongError struct{ Bytes, Limit int }

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// UnknownManagerError reports a connection from a manager that is not configured.
type UnknownManagerError struct{ Name string }

func (e *UnknownManagerError) Error() string {
	return fmt.Sprintf("%q is not a manager of this fleet: add it to every manager's file", e.Name)
}

// appendFrame appends a frame: the length of b in four bytes, and b.
func appendFrame(out, b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(b))), b...)
}

func readFrame(reader io.Reader, limit int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > limit {
		return nil, &FrameTooLongError{n, limit}
	}
	b := make([]byte, n)
	_, err := io.ReadFull(reader, b)
	return b, err
}

// acceptConnections accepts at most as many connections as the fleet can need.
func (r *Runner) acceptConnections(ctx context.Context, group *errgroup.Group) error {
	var open atomic.Int64
	for {
		conn, err := r.config.Listener.Accept()
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
			r.config.Log.Warn("agreement: accept failed", zap.Error(err))
			time.Sleep(retryDelay) // most likely out of file descriptors, which may be temporary
			continue
		}
		if open.Add(1) > int64(2*len(r.config.Addresses)+spareConnections) {
			open.Add(-1)
			conn.Close()
			continue
		}
		group.Go(func() error {
			defer open.Add(-1)
			if err := r.receiveFrames(ctx, conn); ctx.Err() == nil && !errors.Is(err, io.EOF) {
				r.config.Log.Warn("agreement: connection failed", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
			}
			return nil
		})
	}
}

// receiveFrames reads the messages of another manager until its connection ends. The first frame
// is the manager's name.
func (r *Runner) receiveFrames(ctx context.Context, conn net.Conn) error {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	hello, err := readFrame(reader, 256)
	if err != nil {
		return err
	}
	name := string(hello)
	if _, ok := r.config.Addresses[name]; !ok || name == r.config.Machine.Name {
		return &UnknownManagerError{name}
	}
	conn.SetReadDeadline(time.Time{})
	for {
		b, err := readFrame(reader, maxFrameBytes)
		if err != nil {
			return err
		}
		if !r.events.Put(agreement.Event{Kind: agreement.EventMessage, From: name, Bytes: b}) {
			r.droppedMessages.Add(1)
		}
	}
}
