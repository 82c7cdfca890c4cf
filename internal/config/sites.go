package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directive"
	"millethinge/internal/directory"
	"millethinge/internal/site"
)

// Limits and defaults of sites.
const (
	maxWarmUp         = time.Hour
	defaultMeanLength = 35 * time.Second // of a session, where the operator's file gives none
)

// Site configures a group of zones that fail together.
type Site struct {
	Name         string
	Zones        []string      // names in the platform's list
	KeepClasses  []bool        // by class: its sessions are accepted before those of all other classes while the site is lost
	RefusalOrder []int         // classes in the order in which their sessions are refused; nil: by worth
	WarmUp       time.Duration // until its nodes carry their full load after a return; 0: as in the settings
}

func siteBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "site", Usage: "NAME { … }", Doc: "zones that are lost together, and what gives way then", Repeatable: true, Apply: func(d *directive.Directive) {
		s := Site{Name: d.Word("a name")}
		var names []string
		for _, other := range l.Sites {
			names = append(names, other.Name)
		}
		checkUnique(d, s.Name, names)
		d.Block(
			directive.Keyword{Name: "zones", Usage: "ZONE…", Doc: "of the platform's list", Required: true, Apply: func(d *directive.Directive) {
				for first := true; first || d.More(); first = false {
					zone := d.Word("a zone")
					switch inSite := func(other Site) bool { return slices.Contains(other.Zones, zone) }; {
					case d.HasFault():
					case len(l.deployment.Zones) > 0 && !slices.Contains(l.deployment.Zones, zone):
						d.ReportFault(d.ArgumentIndex(), "%q is no zone of this deployment; there are: %v", zone, l.deployment.Zones)
					case slices.Contains(s.Zones, zone) || slices.ContainsFunc(l.Sites, inSite):
						d.ReportFault(d.ArgumentIndex(), "%q is in a site already", zone)
					}
					s.Zones = append(s.Zones, zone)
				}
			}},
			directive.Keyword{Name: "keep", Usage: "CLASS…", Doc: "whose sessions are taken before all others while it is lost; none if absent", Apply: func(d *directive.Directive) {
				s.KeepClasses = l.readClasses(d)
			}},
			directive.Keyword{Name: "refuse", Usage: "CLASS…", Doc: "in this order, the first first; by worth for each kB if absent", Apply: func(d *directive.Directive) {
				var names []string
				for _, c := range l.deployment.Classes {
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
			directive.Keyword{Name: "pace", Usage: "DURATION", Doc: "until its nodes bear their full load again; the settings' warm-up if absent", Apply: func(d *directive.Directive) {
				s.WarmUp = d.Duration("how long they take", time.Millisecond, maxWarmUp)
			}},
		)
		l.Sites = append(l.Sites, s)
	}}
}

// tier returns the rank of a class's sessions in plans: classes to keep have the highest,
// the others rank by the order of refusal. Lower tiers are refused first.
func (s *Site) tier(class int) int {
	if class < len(s.KeepClasses) && s.KeepClasses[class] {
		return 1 + len(s.RefusalOrder)
	}
	return max(slices.Index(s.RefusalOrder, class), 0) // the class refused first and those without an order are in tier 0, ranked by worth
}

// SiteModel is the input to plans for the loss of sites, made from the configuration
// alone: from its initial list of media nodes, and from the ordinary load in the operator's
// file, spread over the sites in proportion to their links.
type SiteModel struct {
	Fleet      site.Fleet
	SiteNames  []string        // by site
	MeanLength []time.Duration // of sessions, by class
	Rates      []float64       // by class, sessions a second over all managers
	Returns    []site.Recovery // by site
	NodeCounts []int           // by site
}

// BuildSiteModel returns the input to plans for the loss of sites. It fails if the
// operator's file has no ordinary load or the initial list names no media node in a site.
func (c *Config) BuildSiteModel() (*SiteModel, error) {
	settings := &c.Settings
	if c.Operator.OrdinaryLoad == nil {
		return nil, fmt.Errorf("an ordinary block is wanted: it says how many sessions of each class come, and how long they last")
	}
	model := &SiteModel{Fleet: site.Fleet{CrossSiteCost: settings.CrossZoneCost}}
	sites, siteByZone := c.allSites()
	model.NodeCounts = make([]int, len(sites))
	for _, operatorSite := range sites {
		model.SiteNames = append(model.SiteNames, operatorSite.Name)
		warmUp := operatorSite.effectiveWarmUp(settings)
		model.Returns = append(model.Returns, site.Recovery{WarmUp: warmUp, InitialShare: settings.StartCapacityShare, ReturnCount: 1})
	}
	var entries []control.Entry
	c.forEachReadyNode(func(entry control.Entry) { entries = append(entries, entry) })
	var nodes []site.Node
	for _, entry := range entries {
		if entry.Zone < 0 || entry.Zone >= len(siteByZone) || siteByZone[entry.Zone] < 0 {
			continue
		}
		node := broker.SiteNode(settings, entry, siteByZone[entry.Zone], len(entries))
		nodes = append(nodes, node)
		model.NodeCounts[node.Site]++
		model.Returns[node.Site].MaxStreams += node.MaxStreams
	}
	if len(nodes) == 0 {
		return nil, fmt.Errorf("known: the list names no media node")
	}
	model.Fleet.Sites = site.BuildSites(model.SiteNames, nodes, settings.RackUplinkKB*control.TargetUtilization)
	model.Fleet.Classes = c.siteClasses()
	sessions := make([]float64, len(settings.Classes))
	for index := range settings.Classes {
		load := c.Operator.OrdinaryLoad[index]
		if load.MeanLength <= 0 {
			load.MeanLength = defaultMeanLength
		}
		model.MeanLength, model.Rates = append(model.MeanLength, load.MeanLength), append(model.Rates, load.Rate)
		sessions[index] = load.Rate * load.MeanLength.Seconds()
	}
	model.Fleet.Demands = model.Fleet.SpreadDemand(sessions, func(i, class int) int { return sites[i].tier(class) })
	return model, model.Fleet.Validate()
}

// siteClasses returns the classes as input to plans for the loss of sites.
func (c *Config) siteClasses() (classes []site.Class) {
	settings := &c.Settings
	for index, class := range settings.Classes {
		siteClass := site.Class{Name: c.ClassNames[index], Floor: class.FloorRung, Top: min(class.TopRung, len(settings.RatesKB)-1)}
		for rung, kb := range settings.RatesKB {
			siteClass.RatesKB = append(siteClass.RatesKB, kb*class.RateScale)
			siteClass.Worth = append(siteClass.Worth, class.Worth*settings.LadderWorth[rung])
		}
		classes = append(classes, siteClass)
	}
	return classes
}

// allSites returns the sites of the operator's file, followed by a site for each zone that
// none of them contains, and by zone the index of its site.
func (c *Config) allSites() (sites []Site, siteByZone []int) {
	sites = slices.Clone(c.Operator.Sites)
	for _, zone := range c.DirectoryNames.Zones {
		i := slices.IndexFunc(sites, func(s Site) bool { return slices.Contains(s.Zones, zone) })
		if i < 0 {
			i, sites = len(sites), append(sites, Site{Name: zone, Zones: []string{zone}})
		}
		siteByZone = append(siteByZone, i)
	}
	return sites, siteByZone
}

// BrokerSites returns the broker's configuration of sites. It is empty if the operator's
// file has no site.
func (c *Config) BrokerSites() (siteConfig broker.SiteConfig) {
	if len(c.Operator.Sites) == 0 {
		return siteConfig
	}
	sites, siteByZone := c.allSites()
	settings := &c.Settings
	for _, operatorSite := range sites {
		siteConfig.Names = append(siteConfig.Names, operatorSite.Name)
		rule := site.Rule{WarmUp: operatorSite.effectiveWarmUp(settings), InitialShare: settings.StartCapacityShare}
		for class := range settings.Classes {
			rule.Tiers = append(rule.Tiers, operatorSite.tier(class))
		}
		siteConfig.Rules = append(siteConfig.Rules, rule)
	}
	for class := range settings.Classes {
		expected := site.ExpectedLoad{MeanLength: defaultMeanLength}
		if class < len(c.Operator.OrdinaryLoad) {
			expected.Rate = c.Operator.OrdinaryLoad[class].Rate
			expected.MeanLength = cmp.Or(c.Operator.OrdinaryLoad[class].MeanLength, defaultMeanLength)
		}
		siteConfig.Expected = append(siteConfig.Expected, expected)
	}
	siteConfig.SiteByZone, siteConfig.Classes = siteByZone, c.siteClasses()
	return siteConfig
}

// effectiveWarmUp returns how long the nodes of a site take to carry their full load.
func (s *Site) effectiveWarmUp(settings *control.Settings) time.Duration {
	if s.WarmUp > 0 {
		return s.WarmUp
	}
	return Seconds(settings.WarmAfterS)
}

// forEachReadyNode calls visit for each media node of the initial list that neither drains
// nor is gone.
func (c *Config) forEachReadyNode(visit func(control.Entry)) {
	var order []control.ServerID
	nodes := map[control.ServerID]control.Entry{}
	directory.Replay(c.KnownNodes, c.DirectoryNames, func(change directory.Change) {
		if change.Full {
			clear(nodes)
		}
		for _, listed := range change.Members {
			if _, ok := nodes[listed.Server]; !ok {
				order = append(order, listed.Server)
			}
			nodes[listed.Server] = listed.Entry
		}
	})
	for _, id := range order {
		if entry, ok := nodes[id]; ok && entry.State == control.Ready {
			delete(nodes, id) // a node that a later full list names again is in order twice
			visit(entry)
		}
	}
}

// SiteWarnings returns a warning for each site whose loss would leave too little capacity
// for sessions of the classes that are to be kept. If the configuration is not enough to
// plan with, the only warning says why.
func (c *Config) SiteWarnings() (warnings []string) {
	if len(c.Operator.Sites) == 0 {
		return nil
	}
	model, err := c.BuildSiteModel()
	if err != nil {
		return []string{"site: not checked: " + err.Error()}
	}
	plans, err := site.PlanLosses(&model.Fleet)
	if err != nil {
		return []string{"site: not checked: " + err.Error()}
	}
	for _, plan := range plans {
		kept, refused := 0.0, 0.0
		for i, demand := range model.Fleet.Demands {
			operatorSites := c.Operator.Sites
			if demand.HomeSite < len(operatorSites) && demand.Class < len(operatorSites[demand.HomeSite].KeepClasses) && operatorSites[demand.HomeSite].KeepClasses[demand.Class] {
				kept, refused = kept+demand.Sessions, refused+plan.Allocations[i].Refused
			}
		}
		if len(plan.LostSites) == 1 && refused > 1e-6*kept {
			warnings = append(warnings, fmt.Sprintf("site %s: if it is lost, the rest can't carry %.1f of %.1f sessions that are to be kept (%.1f%%)",
				model.SiteNames[plan.LostSites[0]], refused, kept, 100*refused/kept))
		}
	}
	return warnings
}
