// Command wirehost hosts instances of the decision module on the bench's wire:
// batches of events on standard input, one reply for each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"millethinge/control"
	"millethinge/internal/config"
	"millethinge/internal/wire"
)

func main() {
	if err := serveBatches(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serveBatches answers batches until the input ends. Instances share nothing.
func serveBatches(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(in)
	buffered := bufio.NewWriterSize(out, 1<<16)
	enc := wire.NewEncoder(buffered)
	instances := make(map[uint16]*control.Controller)
	for {
		batch, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		enc.Begin(batch.Seq)
		for i := range batch.Records {
			handleRecord(instances, enc, batch.Now, &batch.Records[i])
		}
		if err := enc.Flush(); err != nil {
			return err
		}
		if err := buffered.Flush(); err != nil {
			return err
		}
	}
}

// handleRecord passes one record to its instance. A panic there is that instance's
// fault alone, and is told in its name.
func handleRecord(instances map[uint16]*control.Controller, enc *wire.Encoder, now float64, r *wire.Record) {
	defer func() {
		if p := recover(); p != nil {
			delete(instances, r.Instance)
			enc.InstanceFailed(r.Instance, fmt.Sprint("panic: ", p))
		}
	}()
	switch r.Kind {
	case wire.KindStart:
		settings, err := config.ParseSettings(r.SettingsJSON)
		if err == nil {
			instances[r.Instance], err = control.New(settings, r.Seed)
		}
		if err != nil {
			delete(instances, r.Instance)
			enc.InstanceFailed(r.Instance, err.Error())
		}
	case wire.KindKill:
		delete(instances, r.Instance)
	case wire.KindEvent:
		c := instances[r.Instance]
		if c == nil {
			return
		}
		for _, a := range c.Handle(now, r.Event) {
			enc.Action(r.Instance, a)
		}
	}
}
