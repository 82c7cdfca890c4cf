// Package wire is the codec of the bench's frames and of the settings that
// come with an instance's start.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"millethinge/control"
)

const (
	batchHeaderLen  = 20
	replyHeaderLen  = 8
	maxFrame        = 1 << 30 // larger frames are taken as a fault of the stream
	listEntryLen    = 24
	recordHeaderLen = 5
)

// Codes of the records that are read.
const (
	codeStart          = 1
	codeList           = 2
	codeArrival        = 3
	codeStarted        = 4
	codeAttemptEnded   = 5
	codeAbandoned      = 6
	codeTimer          = 7
	codeProbeResult    = 8
	codeKill           = 10
	codeEstablished    = 11
	codeNote           = 12
	codeListContents   = 13
	maxLists           = 256
	codeSubscribe      = 1
	codeSetRung        = 2
	codeInstanceFailed = 3
	codeSetTimer       = 4
	codeProbe          = 7
	codeRemark         = 8
	codeRefuse         = 9
	codeFail           = 10
	codeMove           = 13
	codeSetUp          = 14
)

// Kind tells the records that concern the adapter from those it passes on.
type Kind int

const (
	KindEvent Kind = iota // Event is for the instance's Controller
	KindStart             // the instance starts: Seed, Params
	KindKill              // the instance is killed
)

// Record is one decoded record of a batch.
type Record struct {
	Kind         Kind
	Instance     uint16
	Seed         uint64
	SettingsJSON []byte
	Event        control.Event
}

// Batch is one decoded frame.
type Batch struct {
	Seq     uint32
	Now     float64
	Records []Record
}

// ErrTruncated reports input that ends inside a frame.
var ErrTruncated = errors.New("wire: truncated frame")

// Decoder reads batches. It keeps the numbered server lists between them.
type Decoder struct {
	r     *bufio.Reader
	buf   []byte
	lists [maxLists][]control.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16)}
}

// Next reads one batch. It returns io.EOF at the end of input between frames.
// The batch's byte slices are valid until the next call.
func (d *Decoder) Next() (Batch, error) {
	var head [batchHeaderLen]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, ErrTruncated
	}
	frameSize := binary.LittleEndian.Uint32(head[12:])
	count := binary.LittleEndian.Uint32(head[16:])
	if frameSize < batchHeaderLen || frameSize > maxFrame {
		return Batch{}, fmt.Errorf("wire: frame size %d", frameSize)
	}
	body, err := d.read(int(frameSize) - batchHeaderLen)
	if err != nil {
		return Batch{}, err
	}
	b := Batch{
		Seq: binary.LittleEndian.Uint32(head[0:]),
		Now: math.Float64frombits(binary.LittleEndian.Uint64(head[4:])),
	}
	for i := uint32(0); i < count; i++ {
		if len(body) < recordHeaderLen {
			return Batch{}, fmt.Errorf("wire: record %d: %w", i, ErrTruncated)
		}
		size := binary.LittleEndian.Uint32(body[1:])
		if uint64(size) > uint64(len(body)-recordHeaderLen) {
			return Batch{}, fmt.Errorf("wire: record %d overruns its frame", i)
		}
		rec, ok, err := d.decodeRecord(body[0], body[recordHeaderLen:recordHeaderLen+size])
		if err != nil {
			return Batch{}, fmt.Errorf("wire: record %d, code %d: %w", i, body[0], err)
		}
		if ok {
			b.Records = append(b.Records, rec)
		}
		body = body[recordHeaderLen+size:]
	}
	if len(body) != 0 {
		return Batch{}, fmt.Errorf("wire: %d bytes after the last record", len(body))
	}
	return b, nil
}

// read returns the next n bytes. It grows the buffer as bytes come in, so that
// a false length can't make it allocate much more than was sent.
func (d *Decoder) read(n int) ([]byte, error) {
	const maxStep = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < n {
		step := min(n-len(d.buf), maxStep)
		start := len(d.buf)
		d.buf = append(d.buf, make([]byte, step)...)
		if _, err := io.ReadFull(d.r, d.buf[start:]); err != nil {
			return nil, ErrTruncated
		}
	}
	return d.buf, nil
}

// fieldReader reads the fields of one record; past the end it notes an error and
// yields zeros.
type fieldReader struct {
	rest      []byte
	truncated bool
}

func (f *fieldReader) take(n int) []byte {
	if n > len(f.rest) {
		f.truncated = true
		f.rest = nil
		return make([]byte, min(n, 8))
	}
	taken := f.rest[:n]
	f.rest = f.rest[n:]
	return taken
}

func (f *fieldReader) u8() uint8    { return f.take(1)[0] }
func (f *fieldReader) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fieldReader) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fieldReader) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fieldReader) f64() float64 { return math.Float64frombits(f.u64()) }
func (f *fieldReader) f32() float64 { return float64(math.Float32frombits(f.u32())) }

func (f *fieldReader) server() control.ServerID {
	addr := f.take(4)
	a := binary.BigEndian.Uint32(addr)
	return control.ServerID(uint64(a)<<16 | uint64(f.u16()))
}

// bytes returns n bytes, or nothing when fewer are left.
func (f *fieldReader) bytes(n int) []byte {
	if n > len(f.rest) {
		f.truncated = true
		return nil
	}
	return f.take(n)
}

func (f *fieldReader) loadReport() []float64 {
	count := int(f.u8())
	if count == 0 || count*4 > len(f.rest) {
		f.truncated = f.truncated || count > 0
		return nil
	}
	values := make([]float64, count)
	for i := range values {
		values[i] = f.f32()
	}
	return values
}

// countOrInvalid turns a wire number into a count; what is no small number becomes -1.
func countOrInvalid(v float64) int {
	if v >= 0 && v < 1<<30 {
		return int(v)
	}
	return -1
}

const flagLengthKnown = 1

func (d *Decoder) decodeRecord(code byte, b []byte) (Record, bool, error) {
	f := &fieldReader{rest: b}
	if code == codeListContents {
		return Record{}, false, d.decodeList(f)
	}
	if code < codeStart || code > codeListContents {
		return Record{}, false, nil
	}
	rec := Record{Instance: f.u16()}
	e := &rec.Event
	switch code {
	case codeStart:
		rec.Kind = KindStart
		rec.Seed = f.u64()
		rec.SettingsJSON = f.bytes(int(f.u32()))
	case codeKill:
		rec.Kind = KindKill
	case codeList:
		e.Kind = control.EventList
		list := f.u8()
		f.u32()
		switch f.u8() {
		case 0:
			e.List = control.ListFull
		case 1:
			e.List = control.ListCached
		case 2:
			e.List = control.ListDelta
		default:
			e.List = control.ListFailed
		}
		if e.List != control.ListFailed {
			e.Entries = d.lists[list]
		}
	case codeArrival:
		e.Kind = control.EventArrival
		e.Session = control.SessionID(f.u64())
		e.Class = int(f.u16())
		e.Tenant = int(f.u16())
		f.u64() // the viewer
		e.Title = f.u64()
		e.TimeLeftS, e.ExpectedLengthS = f.f64(), f.f64()
		e.HomeCell, e.Copies, e.MaxRung = countOrInvalid(f.f32()), countOrInvalid(f.f32()), f.f32()
		applyFlags(e, f.u16())
	case codeEstablished:
		e.Kind = control.EventEstablished
		e.Session = control.SessionID(f.u64())
		e.HomeCell = countOrInvalid(f.f32())
		f.u16() // the tenant
		e.Title = f.u64()
		e.Server = f.server()
		flags := f.u16()
		e.ExpectedLengthS, e.TimeLeftS = f.f64(), f.f64()
		e.Class, e.Copies, e.MaxRung = int(f.u16()), countOrInvalid(f.f32()), f.f32()
		f.u64() // the viewer
		applyFlags(e, flags)
	case codeStarted:
		e.Kind = control.EventStarted
		e.Session, e.Server = control.SessionID(f.u64()), f.server()
		f.f64() // how long ago it was sent
		e.Attempt = int(f.u8())
	case codeAttemptEnded:
		e.Kind = control.EventAttemptEnded
		e.Session, e.Attempt = control.SessionID(f.u64()), int(f.u8())
		e.Server, e.Status = f.server(), control.Status(f.u8())
		f.f64() // how long ago it was sent
		e.RequestFinished, e.Load = f.u8() != 0, f.loadReport()
	case codeAbandoned:
		e.Kind = control.EventAbandoned
		e.Session = control.SessionID(f.u64())
	case codeTimer:
		e.Kind = control.EventTimer
		e.Token = f.u32()
	case codeProbeResult:
		e.Kind = control.EventProbeResult
		e.Server, e.Status = f.server(), control.Status(f.u8())
		f.f64() // how long ago it was asked
		e.Load = f.loadReport()
	case codeNote:
		e.Kind = control.EventNote
		e.Session, e.Note = control.SessionID(f.u64()), control.NoteKind(f.u8())
		e.Value, e.Server, e.Attempt = f.f32(), f.server(), int(f.u8())
	default: // a message of another front, say: nothing here reads it
		return Record{}, false, nil
	}
	if f.truncated {
		return Record{}, false, ErrTruncated
	}
	return rec, true, nil
}

func applyFlags(e *control.Event, flags uint16) {
	if flags&flagLengthKnown == 0 {
		e.ExpectedLengthS = 0
	}
}

func (d *Decoder) decodeList(f *fieldReader) error {
	list := f.u8()
	n := int(f.u32())
	if f.truncated || n > len(f.rest)/listEntryLen {
		return ErrTruncated
	}
	entries := make([]control.Entry, n)
	for i := range entries {
		e := &entries[i]
		switch f.u8() {
		case 0:
			e.State = control.Draining
		case 1:
			e.State = control.Ready
		default:
			e.State = control.Gone
		}
		e.Cell, e.Zone, e.StartedAtS = int(f.u16()), int(f.u16()), f.f64()
		e.Server, e.MachineKind, e.Weight = f.server(), int(f.u8()), f.f32()
	}
	d.lists[list] = entries
	return nil
}

// Encoder writes replies.
type Encoder struct {
	w   io.Writer
	buf []byte
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{w: w} }

// Begin starts the reply to a batch.
func (e *Encoder) Begin(seq uint32) {
	e.buf = binary.LittleEndian.AppendUint32(e.buf[:0], seq)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, 0)
}

// Flush sends the reply in one write.
func (e *Encoder) Flush() error {
	binary.LittleEndian.PutUint32(e.buf[4:], uint32(len(e.buf)))
	_, err := e.w.Write(e.buf)
	return err
}

func (e *Encoder) beginRecord(code byte, instance uint16) int {
	e.buf = append(e.buf, code, 0, 0, 0, 0)
	start := len(e.buf)
	e.buf = binary.LittleEndian.AppendUint16(e.buf, instance)
	return start
}

func (e *Encoder) endRecord(start int) {
	binary.LittleEndian.PutUint32(e.buf[start-4:], uint32(len(e.buf)-start))
}

func (e *Encoder) u8(v int)      { e.buf = append(e.buf, byte(v)) }
func (e *Encoder) u32(v uint32)  { e.buf = binary.LittleEndian.AppendUint32(e.buf, v) }
func (e *Encoder) f64(v float64) { e.u64(math.Float64bits(v)) }
func (e *Encoder) u64(v uint64)  { e.buf = binary.LittleEndian.AppendUint64(e.buf, v) }
func (e *Encoder) text(b []byte) {
	b = b[:min(len(b), math.MaxUint16)]
	e.buf = binary.LittleEndian.AppendUint16(e.buf, uint16(len(b)))
	e.buf = append(e.buf, b...)
}

func (e *Encoder) server(s control.ServerID) {
	e.buf = binary.BigEndian.AppendUint32(e.buf, uint32(s>>16))
	e.buf = binary.LittleEndian.AppendUint16(e.buf, uint16(s))
}

// InstanceFailed adds the word that an instance's decision code has failed.
func (e *Encoder) InstanceFailed(instance uint16, text string) {
	start := e.beginRecord(codeInstanceFailed, instance)
	e.text([]byte(text))
	e.endRecord(start)
}

// Action adds one action of an instance.
func (e *Encoder) Action(instance uint16, a control.Action) {
	code := actionCodes[a.Kind]
	start := e.beginRecord(code, instance)
	switch code {
	case codeSetUp:
		e.u64(uint64(a.Session))
		e.server(a.Server)
		e.f64(a.SetupTimeoutS)
	case codeSetRung:
		e.u64(uint64(a.Session))
		e.u8(a.Rung)
	case codeRefuse:
		e.u64(uint64(a.Session))
		e.f64(a.RetryAfterS)
	case codeFail, codeMove:
		e.u64(uint64(a.Session))
	case codeSetTimer:
		e.f64(a.DelayS)
		e.u32(a.Token)
	case codeProbe:
		e.server(a.Server)
	case codeSubscribe:
		e.u8(1)
	case codeRemark:
		e.text([]byte(a.Text))
	}
	e.endRecord(start)
}

var actionCodes = [...]byte{
	control.ActionSetUp:     codeSetUp,
	control.ActionSetRung:   codeSetRung,
	control.ActionRefuse:    codeRefuse,
	control.ActionFail:      codeFail,
	control.ActionSetTimer:  codeSetTimer,
	control.ActionProbe:     codeProbe,
	control.ActionSubscribe: codeSubscribe,
	control.ActionRemark:    codeRemark,
	control.ActionMove:      codeMove,
}
