// Command millethinge is the session manager, with commands for its operators.
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
	"millethinge/internal/diagnostic"
	"millethinge/internal/server"
)

// Exit statuses.
const (
	statusOK     = 0
	statusFailed = 1 // the command failed, or the checked input has faults
	statusUsage  = 2 // the command could not start: bad arguments or configuration
)

// app holds what the commands use of the process: environment and standard streams.
type app struct {
	getenv   func(string) string
	in       io.Reader
	out, err io.Writer
}

func main() {
	a := &app{os.Getenv, os.Stdin, os.Stdout, os.Stderr}
	if len(os.Args) == 1 {
		// The platform starts the program so; the command line need not be built.
		os.Exit(a.serve(logOptions{}))
	}
	os.Exit(a.command(os.Args[1:]))
}

// serve runs the session manager until a signal ends it.
func (a *app) serve(options logOptions) int {
	// Guard: SIGHUP must be caught before anything else. It asks for a reload of the files
	// and must not end a process that is still reading them for the first time. The signals
	// that ask for the end may end a process that has accepted nothing yet.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP)
	cfg, err := config.Load(a.getenv)
	if err != nil {
		fmt.Fprintln(a.err, "millethinge:", diagnostic.Text(err))
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
		log.Error("ended", diagnostic.Fields(err)...)
		return statusFailed
	}
	return statusOK
}

// maxProcs returns GOMAXPROCS for a number of cores. Guard: each P costs memory, and more of
// them than the machine has processors gain nothing.
func maxProcs(cores float64) int {
	return int(min(max(math.Round(cores), 1), float64(runtime.NumCPU())))
}

// logOptions holds the level and format of the log. The zero value is for a manager that the
// platform starts.
type logOptions struct{ level, format string }

// logger returns a logger that writes to standard error. Of equal lines in one
// second, only the first hundred and then every hundredth are written, so that a
// burst of them can't fill a disk.
func (o logOptions) logger() (*zap.Logger, error) {
	c := zap.NewProductionConfig() // includes the sampling
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
