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
	headerLen   = 20
	replyLen    = 8
	maxFrame    = 1 << 30 // larger frames are taken as a fault of the stream
	entryLen    = 24
	recordStart = 5
)

// Codes of the records that are read.
const (
	codeUp      = 1
	codeView    = 2
	codeArrival = 3
	codeHead    = 4
	codeEnd     = 5
	codeAborted = 6
	codeFired   = 7
	codePong    = 8
	codeDestroy = 10
	codeOpen    = 11
	codeNote    = 12
	codeCensus  = 13
	listNumbers = 256
	codeWatch   = 1
	codePitch   = 2
	codeBailOut = 3
	codeWake    = 4
	codeAskLoad = 7
	codeRemark  = 8
	codeDeny    = 9
	codeFail    = 10
	codeMove    = 13
	codeHandOff = 14
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
	lists [listNumbers][]control.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16)}
}

// Next reads one batch. It returns io.EOF at the end of input between frames.
// The batch's byte slices are valid until the next call.
func (d *Decoder) Next() (Batch, error) {
	var head [headerLen]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, ErrTruncated
	}
	size := binary.LittleEndian.Uint32(head[12:])
	count := binary.LittleEndian.Uint32(head[16:])
	if size < headerLen || size > maxFrame {
		return Batch{}, fmt.Errorf("wire: frame size %d", size)
	}
	body, err := d.read(int(size) - headerLen)
	if err != nil {
		return Batch{}, err
	}
	b := Batch{
		Seq: binary.LittleEndian.Uint32(head[0:]),
		Now: math.Float64frombits(binary.LittleEndian.Uint64(head[4:])),
	}
	for i := uint32(0); i < count; i++ {
		if len(body) < recordStart {
			return Batch{}, fmt.Errorf("wire: record %d: %w", i, ErrTruncated)
		}
		n := binary.LittleEndian.Uint32(body[1:])
		if uint64(n) > uint64(len(body)-recordStart) {
			return Batch{}, fmt.Errorf("wire: record %d overruns its frame", i)
		}
		rec, ok, err := d.record(body[0], body[recordStart:recordStart+n])
		if err != nil {
			return Batch{}, fmt.Errorf("wire: record %d, code %d: %w", i, body[0], err)
		}
		if ok {
			b.Records = append(b.Records, rec)
		}
		body = body[recordStart+n:]
	}
	if len(body) != 0 {
		return Batch{}, fmt.Errorf("wire: %d bytes after the last record", len(body))
	}
	return b, nil
}

// read returns the next n bytes. It grows the buffer as bytes come in, so that
// a false length can't make it allocate much more than was sent.
func (d *Decoder) read(n int) ([]byte, error) {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < n {
		m := min(n-len(d.buf), step)
		at := len(d.buf)
		d.buf = append(d.buf, make([]byte, m)...)
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return nil, ErrTruncated
		}
	}
	return d.buf, nil
}

// fields reads the fields of one record; past the end it notes an error and
// yields zeros.
type fields struct {
	b     []byte
	short bool
}

func (f *fields) take(n int) []byte {
	if n > len(f.b) {
		f.short = true
		f.b = nil
		return make([]byte, min(n, 8))
	}
	v := f.b[:n]
	f.b = f.b[n:]
	return v
}

func (f *fields) u8() uint8    { return f.take(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) f64() float64 { return math.Float64frombits(f.u64()) }
func (f *fields) f32() float64 { return float64(math.Float32frombits(f.u32())) }

func (f *fields) server() control.ServerID {
	addr := f.take(4)
	a := binary.BigEndian.Uint32(addr)
	return control.ServerID(uint64(a)<<16 | uint64(f.u16()))
}

// bytes returns n bytes, or nothing when fewer are left.
func (f *fields) bytes(n int) []byte {
	if n > len(f.b) {
		f.short = true
		return nil
	}
	return f.take(n)
}

func (f *fields) load() []float64 {
	n := int(f.u8())
	if n == 0 || n*4 > len(f.b) {
		f.short = f.short || n > 0
		return nil
	}
	v := make([]float64, n)
	for i := range v {
		v[i] = f.f32()
	}
	return v
}

// whole turns a wire number into a count; what is no small number becomes -1.
func whole(v float64) int {
	if v >= 0 && v < 1<<30 {
		return int(v)
	}
	return -1
}

const markHint = 1

func (d *Decoder) record(code byte, b []byte) (Record, bool, error) {
	f := &fields{b: b}
	if code == codeCensus {
		return Record{}, false, d.census(f)
	}
	if code < codeUp || code > codeCensus {
		return Record{}, false, nil
	}
	rec := Record{Instance: f.u16()}
	e := &rec.Event
	switch code {
	case codeUp:
		rec.Kind = KindStart
		rec.Seed = f.u64()
		rec.SettingsJSON = f.bytes(int(f.u32()))
	case codeDestroy:
		rec.Kind = KindKill
	case codeView:
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
		e.HomeCell, e.Copies, e.MaxRung = whole(f.f32()), whole(f.f32()), f.f32()
		marks(e, f.u16())
	case codeOpen:
		e.Kind = control.EventEstablished
		e.Session = control.SessionID(f.u64())
		e.HomeCell = whole(f.f32())
		f.u16() // the tenant
		e.Title = f.u64()
		e.Server = f.server()
		m := f.u16()
		e.ExpectedLengthS, e.TimeLeftS = f.f64(), f.f64()
		e.Class, e.Copies, e.MaxRung = int(f.u16()), whole(f.f32()), f.f32()
		f.u64() // the viewer
		marks(e, m)
	case codeHead:
		e.Kind = control.EventStarted
		e.Session, e.Server = control.SessionID(f.u64()), f.server()
		f.f64() // how long ago it was sent
		e.Attempt = int(f.u8())
	case codeEnd:
		e.Kind = control.EventAttemptEnded
		e.Session, e.Attempt = control.SessionID(f.u64()), int(f.u8())
		e.Server, e.Status = f.server(), control.Status(f.u8())
		f.f64() // how long ago it was sent
		e.RequestFinished, e.Load = f.u8() != 0, f.load()
	case codeAborted:
		e.Kind = control.EventAbandoned
		e.Session = control.SessionID(f.u64())
	case codeFired:
		e.Kind = control.EventTimer
		e.Token = f.u32()
	case codePong:
		e.Kind = control.EventProbeResult
		e.Server, e.Status = f.server(), control.Status(f.u8())
		f.f64() // how long ago it was asked
		e.Load = f.load()
	case codeNote:
		e.Kind = control.EventNote
		e.Session, e.Note = control.SessionID(f.u64()), control.NoteKind(f.u8())
		e.Value, e.Server, e.Attempt = f.f32(), f.server(), int(f.u8())
	default: // a message of another front, say: nothing here reads it
		return Record{}, false, nil
	}
	if f.short {
		return Record{}, false, ErrTruncated
	}
	return rec, true, nil
}

func marks(e *control.Event, m uint16) {
	if m&markHint == 0 {
		e.ExpectedLengthS = 0
	}
}

func (d *Decoder) census(f *fields) error {
	list := f.u8()
	n := int(f.u32())
	if f.short || n > len(f.b)/entryLen {
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

func (e *Encoder) open(code byte, instance uint16) int {
	e.buf = append(e.buf, code, 0, 0, 0, 0)
	at := len(e.buf)
	e.buf = binary.LittleEndian.AppendUint16(e.buf, instance)
	return at
}

func (e *Encoder) close(at int) {
	binary.LittleEndian.PutUint32(e.buf[at-4:], uint32(len(e.buf)-at))
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
	at := e.open(codeBailOut, instance)
	e.text([]byte(text))
	e.close(at)
}

// Action adds one action of an instance.
func (e *Encoder) Action(instance uint16, a control.Action) {
	code := actionCodes[a.Kind]
	at := e.open(code, instance)
	switch code {
	case codeHandOff:
		e.u64(uint64(a.Session))
		e.server(a.Server)
		e.f64(a.SetupTimeoutS)
	case codePitch:
		e.u64(uint64(a.Session))
		e.u8(a.Rung)
	case codeDeny:
		e.u64(uint64(a.Session))
		e.f64(a.RetryAfterS)
	case codeFail, codeMove:
		e.u64(uint64(a.Session))
	case codeWake:
		e.f64(a.DelayS)
		e.u32(a.Token)
	case codeAskLoad:
		e.server(a.Server)
	case codeWatch:
		e.u8(1)
	case codeRemark:
		e.text([]byte(a.Text))
	}
	e.close(at)
}

var actionCodes = [...]byte{
	control.ActionSetUp:     codeHandOff,
	control.ActionSetRung:   codePitch,
	control.ActionRefuse:    codeDeny,
	control.ActionFail:      codeFail,
	control.ActionSetTimer:  codeWake,
	control.ActionProbe:     codeAskLoad,
	control.ActionSubscribe: codeWatch,
	control.ActionRemark:    codeRemark,
	control.ActionMove:      codeMove,
}
