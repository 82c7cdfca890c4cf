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
	Name   string
	Zones  []string
	Keep   []bool        // by class: taken before all others while the site is lost
	Refuse []int         // classes in the order in which they are refused; nil: by worth
	Pace   time.Duration // until its nodes bear their full load again; 0: the settings' warm-up
}

func siteBlock(l *loader) conf.Key {
	return conf.Key{Name: "site", Usage: "NAME { … }", Doc: "zones that are lost together, and what gives way then", Many: true, Read: func(d *conf.Directive) {
		s := Site{Name: d.Word("a name")}
		var names []string
		for _, o := range l.Sites {
			names = append(names, o.Name)
		}
		unique(d, s.Name, names)
		d.Block(
			conf.Key{Name: "zones", Usage: "ZONE…", Doc: "of the platform's list", Must: true, Read: func(d *conf.Directive) {
				for first := true; first || d.More(); first = false {
					zone := d.Word("a zone")
					switch used := func(o Site) bool { return slices.Contains(o.Zones, zone) }; {
					case d.Bad():
					case len(l.on.Zones) > 0 && !slices.Contains(l.on.Zones, zone):
						d.Fault(d.At(), "%q is no zone of this deployment; there are: %v", zone, l.on.Zones)
					case slices.Contains(s.Zones, zone) || slices.ContainsFunc(l.Sites, used):
						d.Fault(d.At(), "%q is in a site already", zone)
					}
					s.Zones = append(s.Zones, zone)
				}
			}},
			conf.Key{Name: "keep", Usage: "CLASS…", Doc: "whose sessions are taken before all others while it is lost; none if absent", Read: func(d *conf.Directive) {
				s.Keep = l.classes(d)
			}},
			conf.Key{Name: "refuse", Usage: "CLASS…", Doc: "in this order, the first first; by worth for each kB if absent", Read: func(d *conf.Directive) {
				var names []string
				for _, c := range l.on.Classes {
					names = append(names, c.Name)
				}
				for first := true; first || d.More(); first = false {
					if i := d.OneOf("a class of this deployment", names...); slices.Contains(s.Refuse, i) && i >= 0 {
						d.Fault(d.At(), "%q stands twice", names[i])
					} else if i >= 0 {
						s.Refuse = append(s.Refuse, i)
					}
				}
			}},
			conf.Key{Name: "pace", Usage: "DURATION", Doc: "until its nodes bear their full load again; the settings' warm-up if absent", Read: func(d *conf.Directive) {
				s.Pace = d.Duration("how long they take", time.Millisecond, mostPace)
			}},
		)
		l.Sites = append(l.Sites, s)
	}}
}

// tier ranks a class's sessions: kept ones highest, then by the order of refusal.
func (s *Site) tier(class int) int {
	if class < len(s.Keep) && s.Keep[class] {
		return 1 + len(s.Refuse)
	}
	return max(slices.Index(s.Refuse, class), 0) // the first refused compete by worth
}

// SitePlan is what the loss of sites is planned for, from a configuration alone: the
// list that it holds, and what comes ordinarily by the operator's file, spread over the
// sites as their links are.
type SitePlan struct {
	Fleet   site.Fleet
	Names   []string // of the sites
	Lasts   []time.Duration
	Rates   []float64 // by class, sessions a second over all managers
	Returns []site.Recovery
	Nodes   []int
}

// Sites makes a SitePlan. It fails where the list or the file does not tell enough.
func (c *Config) Sites() (*SitePlan, error) {
	set := &c.Settings
	if c.Operator.Ordinary == nil {
		return nil, fmt.Errorf("an ordinary block is wanted: it says how many sessions of each class come, and how long they last")
	}
	p := &SitePlan{Fleet: site.Fleet{CrossSiteCost: set.CrossZoneCost}}
	rules, of := c.sites()
	p.Nodes = make([]int, len(rules))
	for _, r := range rules {
		p.Names = append(p.Names, r.Name)
		warm := r.warm(set)
		p.Returns = append(p.Returns, site.Recovery{WarmUp: warm, InitialShare: set.StartCapacityShare, ReturnCount: 1})
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
		p.Nodes[n.Site]++
		p.Returns[n.Site].MaxStreams += n.MaxStreams
	}
	if len(nodes) == 0 {
		return nil, fmt.Errorf("known: the list names no media node")
	}
	p.Fleet.Sites = site.BuildSites(p.Names, nodes, set.RackUplinkKB*control.TargetUtilization)
	p.Fleet.Classes = c.siteClasses()
	sessions := make([]float64, len(set.Classes))
	for k := range set.Classes {
		o := c.Operator.Ordinary[k]
		if o.Lasts <= 0 {
			o.Lasts = defaultLast
		}
		p.Lasts, p.Rates = append(p.Lasts, o.Lasts), append(p.Rates, o.Rate)
		sessions[k] = o.Rate * o.Lasts.Seconds()
	}
	p.Fleet.Demands = p.Fleet.SpreadDemand(sessions, func(i, class int) int { return rules[i].tier(class) })
	return p, p.Fleet.Validate()
}

// siteClasses are the classes as plans for sites know them.
func (c *Config) siteClasses() (all []site.Class) {
	set := &c.Settings
	for k, class := range set.Classes {
		v := site.Class{Name: c.Classes[k], Floor: class.FloorRung, Top: min(class.TopRung, len(set.RatesKB)-1)}
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
	for _, z := range c.Names.Zones {
		i := slices.IndexFunc(rules, func(s Site) bool { return slices.Contains(s.Zones, z) })
		if i < 0 {
			i, rules = len(rules), append(rules, Site{Name: z, Zones: []string{z}})
		}
		of = append(of, i)
	}
	return rules, of
}

// Watched is which sites a running manager looks after: none where the operator's file
// names none.
func (c *Config) Watched() (s broker.SiteConfig) {
	if len(c.Operator.Sites) == 0 {
		return s
	}
	rules, of := c.sites()
	set := &c.Settings
	for _, r := range rules {
		s.Names = append(s.Names, r.Name)
		rule := site.Rule{WarmUp: r.warm(set), InitialShare: set.StartCapacityShare}
		for k := range set.Classes {
			rule.Tiers = append(rule.Tiers, r.tier(k))
		}
		s.Rules = append(s.Rules, rule)
	}
	for k := range set.Classes {
		e := site.ExpectedLoad{MeanLength: defaultLast}
		if k < len(c.Operator.Ordinary) {
			e.Rate = c.Operator.Ordinary[k].Rate
			e.MeanLength = cmp.Or(c.Operator.Ordinary[k].Lasts, defaultLast)
		}
		s.Expected = append(s.Expected, e)
	}
	s.SiteByZone, s.Classes = of, c.siteClasses()
	return s
}

// warm is how long the nodes of a site take to bear their full load.
func (s *Site) warm(set *control.Settings) time.Duration {
	if s.Pace > 0 {
		return s.Pace
	}
	return Seconds(set.WarmAfterS)
}

// eachNode calls do for each media node of the list that the configuration holds and
// that neither drains nor is gone.
func (c *Config) eachNode(do func(control.Entry)) {
	var order []control.ServerID
	nodes := map[control.ServerID]control.Entry{}
	directory.Apply(c.Known, c.Names, func(ch directory.Change) {
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
	p, err := c.Sites()
	if err != nil {
		return []string{"site: not checked: " + err.Error()}
	}
	plans, err := site.PlanLosses(&p.Fleet)
	if err != nil {
		return []string{"site: not checked: " + err.Error()}
	}
	for _, l := range plans {
		kept, refused := 0.0, 0.0
		for i, d := range p.Fleet.Demands {
			home := c.Operator.Sites
			if d.HomeSite < len(home) && d.Class < len(home[d.HomeSite].Keep) && home[d.HomeSite].Keep[d.Class] {
				kept, refused = kept+d.Sessions, refused+l.Allocations[i].Refused
			}
		}
		if len(l.LostSites) == 1 && refused > 1e-6*kept {
			warnings = append(warnings, fmt.Sprintf("site %s: if it is lost, the rest can't carry %.1f of %.1f sessions that are to be kept (%.1f%%)",
				p.Names[l.LostSites[0]], refused, kept, 100*refused/kept))
		}
	}
	return warnings
}
