package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"millethinge/internal/config"
	"millethinge/internal/diagnostic"
)

// cli is the command line, from which kong derives commands and flags. The Run
// methods of larger commands are in files of their own.
type cli struct {
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"Least level that is logged: ${enum}."`
	LogFormat string `enum:"json,console" default:"json" help:"Form of the log on standard error: ${enum}."`
	Platform  string `type:"path" placeholder:"FILE" help:"The platform's configuration (default: $$BALANCER_CONFIG)."`
	Operator  string `type:"path" placeholder:"FILE" help:"The operator's file (default: $$MILLETHINGE_OPERATOR, then deploy/operator.conf if it is there)."`

	Serve      serveCmd      `cmd:"" default:"1" help:"Run the session manager. This is what runs without arguments."`
	Check      checkCmd      `cmd:"" help:"Read the whole configuration and tell all that is wrong with it."`
	Explain    explainCmd    `cmd:"" help:"Tell how set-up messages are routed by the rules, and what that costs."`
	Peaks      peaksCmd      `cmd:"" help:"List the coming announced peaks, with what would be held for them and when."`
	Sites      sitesCmd      `cmd:"" help:"Tell what the loss of each site would mean: where its load goes, and what gives way."`
	Convert    convertCmd    `cmd:"" help:"Bring an operator's file of the older JSON form into the present one."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
	Completion completionCmd `cmd:"" help:"Print a script that completes commands and flags in a shell."`
}

const description = `A session manager: it decides which media node plays each session and at which rung, sets it up there, and answers the viewer.

Examples:
  millethinge                                    run it, as the platform does
  millethinge --platform config.json serve       run it with this configuration
  millethinge --operator op.conf check           check an operator's file
  millethinge --operator op.conf explain m.json  which rule a set-up matches, and why
  millethinge convert operator.json > operator.conf
  source <(millethinge completion bash)`

// exitStatus is an error that ends a command with an exit status and no further message.
type exitStatus int

// Error names the exit status.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

// parser builds the parser of the command line. The commands' Run methods get a and c.
func (a *app) parser(c *cli, exit func(int)) (*kong.Kong, error) {
	return kong.New(c, kong.Name("millethinge"), kong.Description(description),
		kong.Writers(a.out, a.err), kong.Exit(exit), kong.Bind(a, c),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
}

// command runs the command that args name and returns the exit status.
func (a *app) command(args []string) (code int) {
	var c cli
	type exited struct{ code int }
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exited: // after kong has printed the help
			code = e.code
		default:
			panic(e)
		}
	}()
	k, err := a.parser(&c, func(code int) { panic(exited{code}) })
	if err != nil {
		fmt.Fprintf(a.err, "millethinge: %v\n", err)
		return statusUsage
	}
	ctx, err := k.Parse(args)
	if err != nil {
		fmt.Fprintf(a.err, "millethinge: %v\n", err)
		return statusUsage
	}
	// The flags override the environment variables that name the configuration's files.
	env := a.getenv
	a.getenv = func(name string) string {
		switch {
		case name == config.EnvPlatformFile && c.Platform != "":
			return c.Platform
		case name == config.EnvOperatorFile && c.Operator != "":
			return c.Operator
		}
		return env(name)
	}
	err = ctx.Run()
	if ended := exitStatus(0); errors.As(err, &ended) {
		return int(ended)
	}
	if err != nil {
		fmt.Fprintln(a.err, "millethinge:", diagnostic.Text(err))
		return statusFailed
	}
	return statusOK
}

// serveCmd runs the session manager.
type serveCmd struct{}

// Run serves until a signal ends the manager.
func (serveCmd) Run(a *app, c *cli) error {
	if code := a.serve(logOptions{c.LogLevel, c.LogFormat}); code != statusOK {
		return exitStatus(code)
	}
	return nil
}

// checkCmd checks the configuration.
type checkCmd struct{}

// Run prints all faults of the configuration, or its warnings and a summary.
func (checkCmd) Run(a *app) error {
	cfg, err := config.Load(a.getenv)
	if err != nil {
		fmt.Fprintln(a.err, diagnostic.Text(err))
		return exitStatus(statusFailed)
	}
	for _, w := range append(cfg.Operator.Warnings, cfg.SiteWarnings()...) {
		fmt.Fprintln(a.err, "warning:", w)
	}
	fmt.Fprintln(a.out, cfg.Summary())
	return nil
}

// convertCmd converts an operator's file from its older JSON form.
type convertCmd struct {
	File string `arg:"" type:"existingfile" help:"The JSON file."`
}

// Run prints the converted file.
func (cmd convertCmd) Run(a *app) error {
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return err
	}
	out, err := config.Convert(text)
	if err != nil {
		return fmt.Errorf("%s: %w", cmd.File, err)
	}
	_, err = a.out.Write(out)
	return err
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version and revision of the build.
func (versionCmd) Run(a *app) error {
	version, revision := "(devel)", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(a.out, "millethinge %s (revision %s, %s %s/%s)\n", version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
