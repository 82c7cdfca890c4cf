package server

import (
	"context"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/config"
	members "millethinge/internal/member"
)

// joinFleet starts this manager's membership in the fleet that the operator's file
// names, and returns a function that leaves it. Without a fleet block in the file, it
// starts nothing.
func joinFleet(ctx context.Context, group *errgroup.Group, cfg *config.Config, log *zap.Logger) (leave func(), err error) {
	c, ok := cfg.MemberConfig()
	if !ok {
		return func() {}, nil
	}
	log = log.Named("fleet")
	c.OnEvents = func(v members.View, events []members.Event) { logFleetEvents(log, v, events) }
	c.LogLine = func(line string) { log.Debug("membership", zap.String("remark", line)) }
	var fleet members.Fleet
	if c.ListenAddress == "" {
		fixed, err := members.NewStatic(c)
		if err != nil {
			return nil, err
		}
		fleet = fixed
		log.Info("fleet", zap.String("what", "named"), viewFields(fixed.View()))
	} else {
		swim, err := members.NewSwim(c)
		if err != nil {
			return nil, err
		}
		fleet = swim
		log.Info("fleet", zap.String("what", "listening"), zap.String("listen", swim.Addr()), viewFields(swim.View()))
	}
	group.Go(func() error { return fleet.Run(ctx) })
	return fleet.Leave, nil
}

// logFleetEvents logs one line per event. Events that an operator should look into are
// logged as warnings.
func logFleetEvents(log *zap.Logger, v members.View, events []members.Event) {
	for _, e := range events {
		fields := []zap.Field{zap.String("what", string(e.Kind)), zap.String("member", e.Member.Name), zap.String("site", e.Member.Site), zap.String("address", e.Member.Address)}
		logEvent := log.Info
		switch e.Kind {
		case members.EventDuplicateName:
			fields = append(fields, zap.String("refused", e.Duplicate.Address),
				zap.String("do", "two managers have the same name: give the one that started later, at the refused address, a name of its own"))
			logEvent = log.Warn
		case members.EventUnknownMember:
			fields = append(fields, zap.String("do", "it is not admitted to the fleet: add it to fleet.members, or stop it"))
			logEvent = log.Warn
		case members.EventQuorumLost:
			fields = append(fields, zap.String("do", "no majority of the fleet can be reached: this manager may be in the smaller part of a network partition; check the network and the other managers"))
			logEvent = log.Warn
		case members.EventLost, members.EventSelfRefused, members.EventProcessPaused:
			logEvent = log.Warn
		}
		logEvent("fleet", append(fields, viewFields(v))...)
	}
}

// viewFields returns the log fields of a view.
func viewFields(v members.View) zap.Field {
	return zap.Inline(viewMarshaler(v))
}

// viewMarshaler writes a view as fields of a log line.
type viewMarshaler members.View

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (m viewMarshaler) MarshalLogObject(e zapcore.ObjectEncoder) error {
	v := members.View(m)
	e.AddInt64("view", v.Number)
	e.AddInt("named", len(v.Members))
	e.AddString("in_view", strings.Join(v.PresentNames(), " "))
	e.AddBool("alone", v.NoQuorum)
	return nil
}
