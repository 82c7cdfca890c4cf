// Package server assembles the session manager's parts: it starts the fronts,
// the broker, the media nodes and the list, drains them on a signal and stops
// them.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/broker"
	"millethinge/internal/conf"
	"millethinge/internal/config"
	"millethinge/internal/directory"
	"millethinge/internal/front/jsonl"
	"millethinge/internal/front/message"
	"millethinge/internal/front/peer"
	"millethinge/internal/front/websocket"
	"millethinge/internal/handover"
	"millethinge/internal/media"
	"millethinge/internal/route"
)

// Listeners are the fronts' sockets.
type Listeners struct {
	Viewers net.Listener
	Players net.Listener // nil: there is no second front
	Calls   net.Listener // nil: operators don't call
}

// Listen opens the sockets that a configuration names.
func Listen(cfg config.Config) (at Listeners, err error) {
	open := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	listen := func(to *net.Listener, whose, addr string) {
		if err != nil {
			return
		}
		var e error
		if *to, e = open(addr); e != nil {
			err = &NoListener{whose, addr, e}
		}
	}
	if cfg.Admin != "" {
		listen(&at.Calls, "operators'", cfg.Admin)
		open = handover.Listen // beside another process of this manager
	}
	listen(&at.Viewers, "viewers'", cfg.Listen)
	if w := cfg.Operator.WebSocket; w != nil {
		listen(&at.Players, "players'", w.Listen)
	}
	return at, err
}

// NoListener tells that an address can't be listened at.
type NoListener struct {
	Whose string
	Addr  string
	Err   error
}

func (e *NoListener) Error() string {
	return fmt.Sprintf("%s address %s: %v", e.Whose, e.Addr, e.Err)
}
func (e *NoListener) Unwrap() error { return e.Err }
func (e *NoListener) Code() string  { return "start-address" }
func (e *NoListener) Remedy() string {
	return "is it this machine's, and does another program, or another manager without `admin`, listen there?"
}

// Run serves until a signal ends it and all that was taken is answered. SIGHUP
// has it follow the coordinator that reload names.
func Run(cfg config.Config, at Listeners, signals <-chan os.Signal,
	reload func(running *config.Config) (config.Config, error), log *zap.Logger) error {
	root, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(root)

	hand := newOperation(&cfg, log)
	defer hand.close()
	counts := hand.Counts()

	half := cfg.Half()
	// The broker and the nodes know each other; the broker does nothing before
	// it runs, so its nodes may be made first.
	var core *broker.Broker
	var coordinator *directory.Coordinator
	pool := media.NewPool(ctx, group, media.Config{
		Classes: cfg.Classes, Fields: cfg.Settings.Fields,
		ConnectTimeout: cfg.ConnectTimeout, ConnIdle: cfg.ConnIdle,
		StreamsPerConn: cfg.StreamsPerConn, MaxConns: cfg.NodeConns(), HalfConns: half.NodeConns(),
		DrainGrace: cfg.DrainGrace,
		NoProbes:   !cfg.Settings.Probes,
		Shared:     hand.Shared, Tried: counts.Tried,
		Report: func(r broker.Report) { core.Report(r) }, Log: log,
		Stalled: func(d time.Duration) {
			coordinator.Ask()
			core.Stalled(d)
		},
	})
	core, err := broker.New(broker.Config{
		Settings: cfg.Settings, Seed: cfg.Seed, MemoryMB: cfg.MemoryMB, Drain: cfg.Drain, Teams: cfg.Operator.Teams, Peaks: cfg.Announced(), Sites: cfg.Watched(), Nodes: pool, Counts: counts, Hand: hand.Hand(), Log: log,
	})
	if err != nil {
		return err
	}
	nodes := directory.NewList(hand.over(func(c directory.Change) {
		pool.Apply(c) // first: a drain binds what is queued at once
		core.List(list(c))
	}))
	coordinator = directory.NewCoordinator(cfg.Known, cfg.Names, nodes.Source("coordinator"), log)
	coordinator.Heard = func(asked time.Time) {
		nodes.After(func() {
			pool.Fresh(asked)
			hand.listed()
		})
	}
	coordinator.Follow(cfg.Coordinator)
	if hand != nil {
		coordinator.Ask() // readiness waits for its first answer, which is not to wait for news
	}
	hand.settle()
	nodes.Settle()
	if d := cfg.Operator.DNSSD; d != nil {
		discovery := &directory.DNSSD{
			Server: d.Server, Service: d.Service, Names: cfg.Names, Log: log, Sink: nodes.Source("dns-sd"),
		}
		group.Go(func() error { return discovery.Run(ctx) })
	}

	leave, err := joinFleet(ctx, group, &cfg, log)
	if err != nil {
		return err
	}
	routes := new(route.ActiveSet)
	routes.Replace(cfg.Operator.Routes)
	for _, w := range cfg.Operator.Warnings {
		log.Warn("configuration", zap.String("remark", w))
	}
	catalog := Catalog(&cfg)
	catalog.Routes = routes
	front := &jsonl.Front{
		Core: core, Catalog: catalog, Counts: counts, Reasons: cfg.Operator.Viewers.Reasons, Log: log,
		Limits: peer.Limits{Most: cfg.ViewerConns(), Half: half.ViewerConns(), Shared: hand.Shared, Open: cfg.Operator.Viewers.MostOpen, Gate: hand.Gate()},
	}
	// The fronts end before what answers them: a set-up that was read last is answered.
	serving, endFronts := context.WithCancel(ctx)
	defer endFronts()
	var fronts sync.WaitGroup
	serve := func(run func(context.Context, net.Listener) error, l net.Listener) {
		fronts.Add(1)
		group.Go(func() error {
			defer fronts.Done()
			return run(serving, l)
		})
	}
	if w := cfg.Operator.WebSocket; w != nil {
		// Both fronts share what viewers may hold of the descriptors.
		front.Limits.Most, front.Limits.Half = (cfg.ViewerConns()+1)/2, (half.ViewerConns()+1)/2
		second := &websocket.Front{
			Core: core, Catalog: catalog, Path: w.Path, Grace: w.Grace, Counts: counts, Limits: front.Limits, Log: log,
		}
		second.Limits.Most, second.Limits.Half = cfg.ViewerConns()/2, half.ViewerConns()/2
		serve(second.Serve, at.Players)
	}
	group.Go(func() error { return core.Run(ctx) })
	group.Go(func() error { return nodes.Run(ctx) })
	group.Go(func() error { return coordinator.Run(ctx) })
	serve(front.Serve, at.Viewers)
	again := make(chan struct{}, 1)
	// Guard: a file that can't be read for long holds up no signal, and not the end: this
	// goroutine is not waited for.
	go func() {
		for {
			select {
			case <-again:
			case <-ctx.Done():
				return
			}
			next, err := reload(&cfg)
			if err != nil {
				keep(err, log)
				continue
			}
			coordinator.Follow(next.Coordinator)
			routes.Replace(next.Operator.Routes)
			told(&next, log)
		}
	}()
	group.Go(func() error {
		for draining := false; ; {
			select {
			case s := <-signals:
				switch {
				case s == syscall.SIGHUP: // also while it drains
					select {
					case again <- struct{}{}:
					default: // the files are to be read already
					}
				case draining:
				case hand.leave(at.Viewers, at.Players):
					log.Info("leaving to a younger process", zap.Stringer("signal", s))
					core.Leave()
					draining = true
				default:
					log.Info("draining", zap.Stringer("signal", s))
					core.Finish()
					leave()
					draining = true
				}
			case <-core.Drained():
				hand.last(core)
				time.Sleep(lastWrites)
				endFronts()
				fronts.Wait()
				cancel()
				return nil
			case <-ctx.Done():
				return nil
			}
		}
	})
	if hand != nil {
		hand.nodes, hand.core, hand.front = nodes, core, front
		group.Go(func() error { return hand.run(ctx, at.Calls) })
	}
	log.Info("serving", zap.Stringer("listen", at.Viewers.Addr()))
	return group.Wait()
}

// Catalog is what the names of a set-up mean by a configuration.
func Catalog(cfg *config.Config) message.Catalog {
	return message.Catalog{
		Classes: cfg.Classes, Teams: cfg.Teams(),
		Cells: cfg.Settings.Cells, MaxRung: len(cfg.Settings.RatesKB) - 1, MostLeft: cfg.MostLeft,
	}
}

// keep tells why a configuration that was read anew changes nothing. Guard: one
// that can't be read or is faulty leaves all as it is.
func keep(err error, log *zap.Logger) {
	var faults *conf.Faults
	if !errors.As(err, &faults) {
		log.Error("configuration not reloaded; the old one stays", zap.Error(err))
		return
	}
	for _, f := range faults.List() {
		log.Error("configuration not reloaded; the old one stays", zap.String("fault", f.Error()))
	}
}

// told says what has been taken of a configuration that was read anew.
func told(cfg *config.Config, log *zap.Logger) {
	fields := []zap.Field{zap.String("coordinator", cfg.Coordinator)}
	if r := cfg.Operator.Routes; r != nil {
		fields = append(fields, zap.Int("rules", len(r.RuleNames())), zap.Int64("most_steps", r.MaxCost()))
	}
	for _, w := range cfg.Operator.Warnings {
		log.Warn("configuration", zap.String("remark", w))
	}
	log.Info("configuration reloaded", fields...)
}

// lastWrites is left for what is queued for nodes to be written before the end.
const lastWrites = 50 * time.Millisecond

// list is a change as the module takes it.
func list(c directory.Change) broker.List {
	var l broker.List
	for _, m := range c.Members {
		l.Entries = append(l.Entries, m.Entry)
	}
	return l
}
