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

// joinFleet has this manager take part in the fleet of the operator's file, and
// returns what has it leave. Without a fleet block it starts nothing.
func joinFleet(ctx context.Context, group *errgroup.Group, cfg *config.Config, log *zap.Logger) (leave func(), err error) {
	c, ok := cfg.Membership()
	if !ok {
		return func() {}, nil
	}
	log = log.Named("fleet")
	c.Told = func(v members.View, events []members.Event) { logFleetEvents(log, v, events) }
	c.Log = func(line string) { log.Debug("membership", zap.String("remark", line)) }
	var fleet members.Fleet
	if c.Listen == "" {
		fixed, err := members.NewFixed(c)
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

// logFleetEvents logs what happened, one line an event. What somebody is to look at is a
// warning.
func logFleetEvents(log *zap.Logger, v members.View, events []members.Event) {
	for _, e := range events {
		fields := []zap.Field{zap.String("what", string(e.What)), zap.String("member", e.Member.Name), zap.String("site", e.Member.Site), zap.String("address", e.Member.Address)}
		logEvent := log.Info
		switch e.What {
		case members.Twin:
			fields = append(fields, zap.String("refused", e.Other.Address),
				zap.String("do", "two managers have one name: give the one that started later, at the address that is refused, a name of its own"))
			logEvent = log.Warn
		case members.Stranger:
			fields = append(fields, zap.String("do", "it is not let in: name it by fleet.members, or end it"))
			logEvent = log.Warn
		case members.IsAlone:
			fields = append(fields, zap.String("do", "no majority of the fleet is in view: this may be the part that is cut off; look at the network and at the other managers"))
			logEvent = log.Warn
		case members.WasLost, members.WasRefused, members.Stood:
			logEvent = log.Warn
		}
		logEvent("fleet", append(fields, viewFields(v))...)
	}
}

// viewFields are a view in a line of the log.
func viewFields(v members.View) zap.Field {
	return zap.Inline(viewMarshaler(v))
}

type viewMarshaler members.View

// MarshalLogObject writes the view's fields.
func (m viewMarshaler) MarshalLogObject(e zapcore.ObjectEncoder) error {
	v := members.View(m)
	e.AddInt64("view", v.Number)
	e.AddInt("named", len(v.Members))
	e.AddString("in_view", strings.Join(v.Names(), " "))
	e.AddBool("alone", v.Alone)
	return nil
}
