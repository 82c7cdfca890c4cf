// Command millethinge is the session manager, with the tools of those who run it.
package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"millethinge/internal/config"
	"millethinge/internal/remedy"
	"millethinge/internal/server"
)

// Exit statuses.
const (
	statusOK     = 0
	statusFailed = 1 // it ran and failed, or what was checked is bad
	statusUsage  = 2 // it could not begin: bad arguments, or configuration
)

// app is the process as the commands see it.
type app struct {
	getenv   func(string) string
	in       io.Reader
	out, err io.Writer
}

func main() {
	a := &app{os.Getenv, os.Stdin, os.Stdout, os.Stderr}
	if len(os.Args) == 1 {
		// As the platform starts it: nothing of the command line is built.
		os.Exit(a.serve(logOptions{}))
	}
	os.Exit(a.command(os.Args[1:]))
}

// serve runs the session manager until a signal ends it.
func (a *app) serve(options logOptions) int {
	// Guard: first of all. It asks for a look at the files, and is not to end a process
	// that is still at its first one; what ends one that has taken nothing may do so.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP)
	cfg, err := config.Load(a.getenv)
	if err != nil {
		fmt.Fprintln(a.err, "millethinge:", remedy.Text(err))
		return statusUsage
	}
	runtime.GOMAXPROCS(maxProcs(cfg.Cores))
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	log, err := options.logger()
	if err != nil {
		fmt.Fprintf(a.err, "millethinge: %v\n", err)
		return statusUsage
	}
	log = log.With(zap.String("name", cfg.Name))
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reload := func(running *config.Config) (config.Config, error) { return config.Reload(a.getenv, running) }
	listeners, err := server.Listen(cfg)
	if err == nil {
		err = server.Run(cfg, listeners, signals, reload, log)
	}
	if err != nil {
		log.Error("ended", remedy.Fields(err)...)
		return statusFailed
	}
	return statusOK
}

// maxProcs is how many threads may run Go code at once. Guard: each costs memory, so what is
// allowed beyond the machine's processors buys nothing.
func maxProcs(cores float64) int {
	return int(min(max(math.Round(cores), 1), float64(runtime.NumCPU())))
}

// logOptions is how the log is written. The zero value is the platform's.
type logOptions struct{ level, format string }

// logger writes to standard error. Of equal lines in a second only the first
// hundred and each hundredth more are written, so that a storm of them can't
// fill a disk.
func (o logOptions) logger() (*zap.Logger, error) {
	c := zap.NewProductionConfig() // this has the sampling
	if o.format == "console" {
		c.Encoding = "console"
		c.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	}
	if o.level != "" {
		level, err := zap.ParseAtomicLevel(o.level)
		if err != nil {
			return nil, err
		}
		c.Level = level
	}
	return c.Build(zap.WithCaller(false))
}
