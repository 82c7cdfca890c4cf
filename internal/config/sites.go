package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/conf"
	"millethinge/internal/directory"
	"millethinge/internal/site"
)

const (
	mostPace    = time.Hour
	defaultLast = 35 * time.Second // a session's mean length, where none is told
)

// Site is what an operator says of zones that are lost together.
type Site struct {
	Name         string
	Zones        []string
	KeepClasses  []bool        // by class: taken before all others while the site is lost
	RefusalOrder []int         // classes in the order in which they are refused; nil: by worth
	WarmUp       time.Duration // until its nodes bear their full load again; 0: the settings' warm-up
}

func siteBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "site", Usage: "NAME { … }", Doc: "zones that are lost together, and what gives way then", Repeatable: true, Apply: func(d *conf.Directive) {
		s := Site{Name: d.Word("a name")}
		var names []string
		for _, o := range l.Sites {
			names = append(names, o.Name)
		}
		unique(d, s.Name, names)
		d.Block(
			conf.Keyword{Name: "zones", Usage: "ZONE…", Doc: "of the platform's list", Required: true, Apply: func(d *conf.Directive) {
				for first := true; first || d.More(); first = false {
					zone := d.Word("a zone")
					switch used := func(o Site) bool { return slices.Contains(o.Zones, zone) }; {
					case d.HasFault():
					case len(l.on.Zones) > 0 && !slices.Contains(l.on.Zones, zone):
						d.ReportFault(d.ArgumentIndex(), "%q is no zone of this deployment; there are: %v", zone, l.on.Zones)
					case slices.Contains(s.Zones, zone) || slices.ContainsFunc(l.Sites, used):
						d.ReportFault(d.ArgumentIndex(), "%q is in a site already", zone)
					}
					s.Zones = append(s.Zones, zone)
				}
			}},
			conf.Keyword{Name: "keep", Usage: "CLASS…", Doc: "whose sessions are taken before all others while it is lost; none if absent", Apply: func(d *conf.Directive) {
				s.KeepClasses = l.classes(d)
			}},
			conf.Keyword{Name: "refuse", Usage: "CLASS…", Doc: "in this order, the first first; by worth for each kB if absent", Apply: func(d *conf.Directive) {
				var names []string
				for _, c := range l.on.Classes {
					names = append(names, c.Name)
				}
				for first := true; first || d.More(); first = false {
					if i := d.OneOf("a class of this deployment", names...); slices.Contains(s.RefusalOrder, i) && i >= 0 {
						d.ReportFault(d.ArgumentIndex(), "%q stands twice", names[i])
					} else if i >= 0 {
						s.RefusalOrder = append(s.RefusalOrder, i)
					}
				}
			}},
			conf.Keyword{Name: "pace", Usage: "DURATION", Doc: "until its nodes bear their full load again; the settings' warm-up if absent", Apply: func(d *conf.Directive) {
				s.WarmUp = d.Duration("how long they take", time.Millisecond, mostPace)
			}},
		)
		l.Sites = append(l.Sites, s)
	}}
}

// tier ranks a class's sessions: kept ones highest, then by the order of refusal.
func (s *Site) tier(class int) int {
	if class < len(s.KeepClasses) && s.KeepClasses[class] {
		return 1 + len(s.RefusalOrder)
	}
	return max(slices.Index(s.RefusalOrder, class), 0) // the first refused compete by worth
}

// SiteModel is what the loss of sites is planned for, from a configuration alone: the
// list that it holds, and what comes ordinarily by the operator's file, spread over the
// sites as their links are.
type SiteModel struct {
	Fleet      site.Fleet
	SiteNames  []string // of the sites
	MeanLength []time.Duration
	Rates      []float64 // by class, sessions a second over all managers
	Returns    []site.Return
	NodeCounts []int
}

// BuildSiteModel makes a SitePlan. It fails where the list or the file does not tell enough.
func (c *Config) BuildSiteModel() (*SiteModel, error) {
	set := &c.Settings
	if c.Operator.OrdinaryLoad == nil {
		return nil, fmt.Errorf("an ordinary block is wanted: it says how many sessions of each class come, and how long they last")
	}
	p := &SiteModel{Fleet: site.Fleet{Cross: set.CrossZoneCost}}
	rules, of := c.sites()
	p.NodeCounts = make([]int, len(rules))
	for _, r := range rules {
		p.SiteNames = append(p.SiteNames, r.Name)
		warm := r.warm(set)
		p.Returns = append(p.Returns, site.Return{Warm: warm, Share: set.StartCapacityShare, Returns: 1})
	}
	var listed []control.Entry
	c.eachNode(func(e control.Entry) { listed = append(listed, e) })
	var nodes []site.Node
	for _, e := range listed {
		if e.Zone < 0 || e.Zone >= len(of) || of[e.Zone] < 0 {
			continue
		}
		n := broker.SiteNode(set, e, of[e.Zone], len(listed))
		nodes = append(nodes, n)
		p.NodeCounts[n.Site]++
		p.Returns[n.Site].Places += n.Places
	}
	if len(nodes) == 0 {
		return nil, fmt.Errorf("known: the list names no media node")
	}
	p.Fleet.Sites = site.Build(p.SiteNames, nodes, set.RackUplinkKB*control.TargetUtilization)
	p.Fleet.Classes = c.siteClasses()
	sessions := make([]float64, len(set.Classes))
	for k := range set.Classes {
		o := c.Operator.OrdinaryLoad[k]
		if o.MeanLength <= 0 {
			o.MeanLength = defaultLast
		}
		p.MeanLength, p.Rates = append(p.MeanLength, o.MeanLength), append(p.Rates, o.Rate)
		sessions[k] = o.Rate * o.MeanLength.Seconds()
	}
	p.Fleet.Demands = p.Fleet.Spread(sessions, func(i, class int) int { return rules[i].tier(class) })
	return p, p.Fleet.Check()
}

// siteClasses are the classes as plans for sites know them.
func (c *Config) siteClasses() (all []site.Class) {
	set := &c.Settings
	for k, class := range set.Classes {
		v := site.Class{Name: c.ClassNames[k], Floor: class.FloorRung, Top: min(class.TopRung, len(set.RatesKB)-1)}
		for r, kb := range set.RatesKB {
			v.RatesKB = append(v.RatesKB, kb*class.RateScale)
			v.Worth = append(v.Worth, class.Worth*set.LadderWorth[r])
		}
		all = append(all, v)
	}
	return all
}

// sites are the sites of the operator's file, and each zone that none of them names as
// one of its own; of is the site by zone.
func (c *Config) sites() (rules []Site, of []int) {
	rules = slices.Clone(c.Operator.Sites)
	for _, z := range c.DirectoryNames.Zones {
		i := slices.IndexFunc(rules, func(s Site) bool { return slices.Contains(s.Zones, z) })
		if i < 0 {
			i, rules = len(rules), append(rules, Site{Name: z, Zones: []string{z}})
		}
		of = append(of, i)
	}
	return rules, of
}

// BrokerSites is which sites a running manager looks after: none where the operator's file
// names none.
func (c *Config) BrokerSites() (s broker.SiteConfig) {
	if len(c.Operator.Sites) == 0 {
		return s
	}
	rules, of := c.sites()
	set := &c.Settings
	for _, r := range rules {
		s.Names = append(s.Names, r.Name)
		rule := site.Rule{Warm: r.warm(set), Share: set.StartCapacityShare}
		for k := range set.Classes {
			rule.Tier = append(rule.Tier, r.tier(k))
		}
		s.Rules = append(s.Rules, rule)
	}
	for k := range set.Classes {
		e := site.Expect{Lasts: defaultLast}
		if k < len(c.Operator.OrdinaryLoad) {
			e.Rate = c.Operator.OrdinaryLoad[k].Rate
			e.Lasts = cmp.Or(c.Operator.OrdinaryLoad[k].MeanLength, defaultLast)
		}
		s.Expected = append(s.Expected, e)
	}
	s.SiteByZone, s.Classes = of, c.siteClasses()
	return s
}

// warm is how long the nodes of a site take to bear their full load.
func (s *Site) warm(set *control.Settings) time.Duration {
	if s.WarmUp > 0 {
		return s.WarmUp
	}
	return Seconds(set.WarmAfterS)
}

// eachNode calls do for each media node of the list that the configuration holds and
// that neither drains nor is gone.
func (c *Config) eachNode(do func(control.Entry)) {
	var order []control.ServerID
	nodes := map[control.ServerID]control.Entry{}
	directory.Apply(c.KnownNodes, c.DirectoryNames, func(ch directory.Change) {
		if ch.Full {
			clear(nodes)
		}
		for _, m := range ch.Members {
			if _, ok := nodes[m.Server]; !ok {
				order = append(order, m.Server)
			}
			nodes[m.Server] = m.Entry
		}
	})
	for _, s := range order {
		if e, ok := nodes[s]; ok && e.State == control.Ready {
			delete(nodes, s) // a node that came back stands in order twice
			do(e)
		}
	}
}

// SiteWarnings tell of sites whose loss the rest could not carry for the classes that
// are to be kept. There are none where the configuration does not tell enough.
func (c *Config) SiteWarnings() (warnings []string) {
	if len(c.Operator.Sites) == 0 {
		return nil
	}
	p, err := c.BuildSiteModel()
	if err != nil {
		return []string{"site: not checked: " + err.Error()}
	}
	plans, err := site.Losses(&p.Fleet)
	if err != nil {
		return []string{"site: not checked: " + err.Error()}
	}
	for _, l := range plans {
		kept, refused := 0.0, 0.0
		for i, d := range p.Fleet.Demands {
			home := c.Operator.Sites
			if d.Home < len(home) && d.Class < len(home[d.Home].KeepClasses) && home[d.Home].KeepClasses[d.Class] {
				kept, refused = kept+d.Sessions, refused+l.Takes[i].Refused
			}
		}
		if len(l.Lost) == 1 && refused > 1e-6*kept {
			warnings = append(warnings, fmt.Sprintf("site %s: if it is lost, the rest can't carry %.1f of %.1f sessions that are to be kept (%.1f%%)",
				p.SiteNames[l.Lost[0]], refused, kept, 100*refused/kept))
		}
	}
	return warnings
}
