// Package server assembles the session manager from its parts. It starts the
// fronts, the broker, the pool of media nodes and the list of media nodes,
// drains and stops them on a signal, and reloads the configuration.
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
	"millethinge/internal/config"
	"millethinge/internal/directive"
	"millethinge/internal/directory"
	"millethinge/internal/front/jsonl"
	"millethinge/internal/front/message"
	"millethinge/internal/front/peer"
	"millethinge/internal/front/websocket"
	"millethinge/internal/handover"
	"millethinge/internal/media"
	"millethinge/internal/route"
)

// Listeners holds the sockets that a manager accepts connections on.
type Listeners struct {
	Viewers   net.Listener // for JSON lines
	Players   net.Listener // for WebSocket; nil if that front is not configured
	Operators net.Listener // for HTTP calls; nil if no admin address is configured
}

// Listen opens the sockets at the addresses that cfg names.
func Listen(cfg config.Config) (listeners Listeners, err error) {
	openListener := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	listen := func(to *net.Listener, clients, addr string) {
		if err != nil {
			return
		}
		var listenErr error
		if *to, listenErr = openListener(addr); listenErr != nil {
			err = &ListenError{clients, addr, listenErr}
		}
	}
	if cfg.AdminListen != "" {
		listen(&listeners.Operators, "operators'", cfg.AdminListen)
		openListener = handover.Listen // another process of this manager may listen at the same address
	}
	listen(&listeners.Viewers, "viewers'", cfg.Listen)
	if w := cfg.Operator.WebSocket; w != nil {
		listen(&listeners.Players, "players'", w.Listen)
	}
	return listeners, err
}

// ListenError reports that the program can't listen at a configured address.
type ListenError struct {
	Clients string // who connects to the address, in the possessive: "viewers'"
	Addr    string // as configured
	Err     error  // from the attempt to listen
}

// Error names the clients, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%s address %s: %v", e.Clients, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Code returns the error's code for operators.
func (e *ListenError) Code() string { return "start-address" }

// Remedy returns what an operator can do about the error.
func (e *ListenError) Remedy() string {
	return "check that the address belongs to this machine, and that no other program, nor another manager without `admin`, listens there"
}

// Run serves until a signal other than SIGHUP starts a drain and every accepted
// request has been answered. On SIGHUP it calls reload, then follows the
// coordinator and routes by the rules of the configuration that reload returns.
func Run(cfg config.Config, listeners Listeners, signals <-chan os.Signal,
	reload func(running *config.Config) (config.Config, error), log *zap.Logger) error {
	root, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(root)

	service := newAdminService(&cfg, log)
	defer service.close()
	counts := service.Counts()

	halfConfig := cfg.WithHalfSockets()
	// The broker and the pool refer to each other. The broker processes nothing
	// before its Run is called, so the pool can be created first.
	var sessionBroker *broker.Broker
	var coordinator *directory.CoordinatorClient
	pool := media.NewPool(ctx, group, media.Config{
		ClassNames: cfg.ClassNames, LoadFields: cfg.Settings.LoadFields,
		ConnectTimeout: cfg.ConnectTimeout, ConnIdleTimeout: cfg.IdleConnTimeout,
		StreamsPerConn: cfg.StreamsPerConn, MaxConns: cfg.MaxNodeConns(), MaxConnsInUpgrade: halfConfig.MaxNodeConns(),
		DrainGrace:        cfg.DrainGrace,
		DisableProbes:     !cfg.Settings.ProbesAllowed,
		UpgradeInProgress: service.Shared, OnSetUpSent: counts.CountAttempt,
		Report: func(r broker.Report) { sessionBroker.Report(r) }, Log: log,
		OnPause: func(d time.Duration) {
			coordinator.PollNow()
			sessionBroker.ProcessPaused(d)
		},
	})
	sessionBroker, err := broker.New(broker.Config{
		Settings: cfg.Settings, Seed: cfg.Seed, MemoryMB: cfg.MemoryMB, Drain: cfg.Drain, Teams: cfg.Operator.Teams, Peaks: cfg.BrokerPeaks(), Sites: cfg.BrokerSites(), Nodes: pool, Counters: counts, SendHandover: service.HandoverFunc(),
		Peers: service.Peers(), SendPlayers: service.PlayerHandoverFunc(), Log: log,
	})
	if err != nil {
		return err
	}
	nodeList := directory.NewList(service.withOverrides(func(c directory.Change) {
		pool.Apply(c) // before the broker, so that a draining node gets no set-up that is already queued
		sessionBroker.UpdateList(brokerList(c))
	}))
	coordinator = directory.NewCoordinatorClient(cfg.KnownNodes, cfg.DirectoryNames, nodeList.SinkFor("coordinator"), log)
	coordinator.OnResponse = func(requested time.Time) {
		nodeList.AfterPending(func() {
			pool.ListRefreshed(requested)
			service.noteCoordinatorAnswer()
		})
	}
	coordinator.SetAddr(cfg.Coordinator)
	if service != nil {
		coordinator.PollNow() // readiness waits for the first answer, which must not wait for a change of the list
	}
	coordinator.SetKnownTime(cfg.KnownTime)
	service.restoreOverrides()
	var discovery *directory.DNSSDClient
	if d := cfg.Operator.DNSSD; d != nil {
		discovery = &directory.DNSSDClient{
			ServerAddr: d.Server, Service: d.Service, Names: cfg.DirectoryNames, Log: log, Sink: nodeList.SinkFor("dns-sd"),
		}
	}
	service.startSharedList(coordinator, discovery)
	nodeList.ProcessPending()
	if discovery != nil {
		group.Go(func() error { return discovery.Run(ctx) })
	}

	leaveFleet, err := joinFleet(ctx, group, &cfg, log)
	if err != nil {
		return err
	}
	service.startPeers(sessionBroker, nodeList)
	routes := new(route.ActiveSet)
	routes.Replace(cfg.Operator.Routes)
	for _, w := range cfg.Operator.Warnings {
		log.Warn("configuration", zap.String("remark", w))
	}
	catalog := Catalog(&cfg)
	catalog.Routes = routes
	linesFront := &jsonl.Front{
		Broker: sessionBroker, Decoder: catalog, Counts: counts, SendReasons: cfg.Operator.Viewers.IncludeReasons, Log: log,
		Limits: peer.Limits{MaxConns: cfg.MaxViewerConns(), MaxConnsInUpgrade: halfConfig.MaxViewerConns(), UpgradeInProgress: service.Shared, MaxSetups: cfg.Operator.Viewers.MaxOpenSetups, Gate: service.Gate(), Turns: peer.NewTurns(), Rejections: service.Rejections()},
	}
	// The fronts stop before the parts that answer them, so that the last set-up read is still answered.
	frontsCtx, stopFronts := context.WithCancel(ctx)
	defer stopFronts()
	var fronts sync.WaitGroup
	serve := func(run func(context.Context, net.Listener) error, l net.Listener) {
		fronts.Add(1)
		group.Go(func() error {
			defer fronts.Done()
			return run(frontsCtx, l)
		})
	}
	if w := cfg.Operator.WebSocket; w != nil {
		// The fronts share the file descriptors that are set aside for clients.
		linesFront.Limits.MaxConns, linesFront.Limits.MaxConnsInUpgrade = (cfg.MaxViewerConns()+1)/2, (halfConfig.MaxViewerConns()+1)/2
		webSocketFront := &websocket.Front{
			Broker: sessionBroker, Decoder: catalog, Path: w.Path, Grace: w.Grace, Counts: counts, Limits: linesFront.Limits, Log: log,
		}
		webSocketFront.Limits.MaxConns, webSocketFront.Limits.MaxConnsInUpgrade = cfg.MaxViewerConns()/2, halfConfig.MaxViewerConns()/2
		serve(func(ctx context.Context, l net.Listener) error {
			service.awaitPeersNotice(ctx)
			return webSocketFront.Serve(ctx, l)
		}, listeners.Players)
	}
	group.Go(func() error { return sessionBroker.Run(ctx) })
	group.Go(func() error { return nodeList.Run(ctx) })
	group.Go(func() error { return coordinator.Run(ctx) })
	serve(linesFront.Serve, listeners.Viewers)
	reloadRequests := make(chan struct{}, 1)
	// Guard: a configuration file whose read blocks must delay neither a signal nor the exit,
	// so no one waits for this goroutine.
	go func() {
		for {
			select {
			case <-reloadRequests:
			case <-ctx.Done():
				return
			}
			next, err := reload(&cfg)
			if err != nil {
				logReloadError(err, log)
				continue
			}
			coordinator.SetAddr(next.Coordinator)
			routes.Replace(next.Operator.Routes)
			logReloaded(&next, log)
		}
	}()
	group.Go(func() error {
		for draining := false; ; {
			select {
			case s := <-signals:
				switch {
				case s == syscall.SIGHUP: // also during a drain
					select {
					case reloadRequests <- struct{}{}:
					default: // a reload is already pending
					}
				case draining:
				case service.leaveToSuccessor(listeners.Viewers, listeners.Players):
					log.Info("leaving to a younger process", zap.Stringer("signal", s), zap.Bool("players", service.handingPlayersOver))
					sessionBroker.DrainForSuccessor(service.handingPlayersOver)
					draining = true
				default:
					log.Info("draining", zap.Stringer("signal", s))
					sessionBroker.Drain()
					leaveFleet()
					draining = true
				}
			case <-sessionBroker.Drained():
				service.handOverRemaining(sessionBroker)
				time.Sleep(finalWriteDelay)
				stopFronts()
				fronts.Wait()
				cancel()
				return nil
			case <-ctx.Done():
				return nil
			}
		}
	})
	if service != nil {
		service.nodeList, service.sessionBroker, service.linesFront = nodeList, sessionBroker, linesFront
		group.Go(func() error { return service.run(ctx, listeners.Operators) })
	}
	log.Info("serving", zap.Stringer("listen", listeners.Viewers.Addr()))
	return group.Wait()
}

// Catalog returns the classes, teams and limits that set-up messages are checked against
// under cfg.
func Catalog(cfg *config.Config) message.SetupDecoder {
	return message.SetupDecoder{
		Classes: cfg.ClassNames, Teams: cfg.TeamNames(),
		Cells: cfg.Settings.Cells, MaxRung: len(cfg.Settings.RatesKB) - 1, MaxTimeLeft: cfg.TimeLeftLimit,
	}
}

// logReloadError logs why a reload of the configuration failed. Guard: a configuration that
// can't be read or has faults changes nothing in the running manager.
func logReloadError(err error, log *zap.Logger) {
	var faults *directive.Faults
	if !errors.As(err, &faults) {
		log.Error("configuration not reloaded; the old one stays", zap.Error(err))
		return
	}
	for _, f := range faults.List() {
		log.Error("configuration not reloaded; the old one stays", zap.String("fault", f.Error()))
	}
}

// logReloaded logs the settings that a reload of the configuration has put into effect.
func logReloaded(cfg *config.Config, log *zap.Logger) {
	fields := []zap.Field{zap.String("coordinator", cfg.Coordinator)}
	if r := cfg.Operator.Routes; r != nil {
		fields = append(fields, zap.Int("rules", len(r.RuleNames())), zap.Int64("most_steps", r.MaxCost()))
	}
	for _, w := range cfg.Operator.Warnings {
		log.Warn("configuration", zap.String("remark", w))
	}
	log.Info("configuration reloaded", fields...)
}

// finalWriteDelay is the time before exit in which messages queued for media nodes are
// written.
const finalWriteDelay = 50 * time.Millisecond

// brokerList converts a change of the list of media nodes to the broker's form.
func brokerList(c directory.Change) broker.ListUpdate {
	var l broker.ListUpdate
	for _, m := range c.Members {
		l.Entries = append(l.Entries, m.Entry)
	}
	return l
}
