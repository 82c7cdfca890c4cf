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

// maxFrameBytes bounds a frame: two documents and what stands round them.
const maxFrameBytes = 2*agreed.MaxDocumentBytes + 64<<10

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

// appendFrame appends b after its length, four bytes.
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

// acceptConnections takes connections in, as many as the fleet can need.
func (k *Runner) acceptConnections(ctx context.Context, group *errgroup.Group) error {
	var open atomic.Int64
	for {
		conn, err := k.config.Listener.Accept()
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
			k.config.Log.Warn("agreement: accept", zap.Error(err))
			time.Sleep(retryDelay) // no descriptors, most likely: there may be some again
			continue
		}
		if open.Add(1) > int64(2*len(k.config.Addresses)+spareConnections) {
			open.Add(-1)
			conn.Close()
			continue
		}
		group.Go(func() error {
			defer open.Add(-1)
			if err := k.receiveFrames(ctx, conn); ctx.Err() == nil && !errors.Is(err, io.EOF) {
				k.config.Log.Warn("agreement: connection", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
			}
			return nil
		})
	}
}

// receiveFrames reads one manager's messages until its connection ends.
func (k *Runner) receiveFrames(ctx context.Context, conn net.Conn) error {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	hello, err := readFrame(reader, 256)
	if err != nil {
		return err
	}
	name := string(hello)
	if _, ok := k.config.Addresses[name]; !ok || name == k.config.Machine.Name {
		return &UnknownManagerError{name}
	}
	conn.SetReadDeadline(time.Time{})
	for {
		b, err := readFrame(reader, maxFrameBytes)
		if err != nil {
			return err
		}
		if !k.events.Put(agreed.Event{Kind: agreed.EventMessage, From: name, Bytes: b}) {
			k.droppedMessages.Add(1)
		}
	}
}
