package directory

import (
	"strings"
	"time"
)

// Instance is an instance of the service as the DNS server has told it to one process, for the other
// processes of the manager. It is stored in a file: the numbers and types of the fields must not
// change.
type Instance struct {
	Node    Node      `cbor:"1,keyasint"` // its ID is the instance's domain name
	Expires time.Time `cbor:"2,keyasint"` // by the shortest TTL of its records
}

// Inherit uses instances that another process of the manager was told, until their TTL expires or the
// DNS server lists the instances to this process. Instances of another service are ignored. It
// returns how many are used. The error is an *UpdateError; nothing is used then.
func (d *DNSSDClient) Inherit(instances []Instance, now time.Time) (used int, err error) {
	suffix := "." + lowerASCII(strings.TrimSuffix(d.Service, "."))
	inherited, nodes := make(map[string]instance), make([]Node, 0, len(instances))
	for _, i := range instances {
		nodes = append(nodes, i.Node)
		if i.Expires.After(now) && strings.HasSuffix(i.Node.ID, suffix) {
			inherited[i.Node.ID] = instance{i.Node, i.Expires}
		}
	}
	if err := (&endpoints{Members: nodes}).validate(0); err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answered {
		return 0, nil
	}
	d.updateLocked(inherited, func(string, instance) bool { return true })
	return len(inherited), nil
}

// noteAnswered records that the DNS server has listed the instances. From then on nothing is inherited.
func (d *DNSSDClient) noteAnswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.answered {
		d.answered = true
		d.revision++
	}
}

// Instances returns the instances for other processes of the manager, unless revision is that of the
// last change, and the new revision. ok is false if nothing has changed or if the DNS server has not
// listed the instances to this process yet.
func (d *DNSSDClient) Instances(revision uint64) (instances []Instance, newRevision uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.answered || revision == d.revision {
		return nil, revision, false
	}
	nodes := make(nodeSet, len(d.found))
	for name, inst := range d.found {
		nodes[name] = inst.node
	}
	for _, n := range nodes.sorted() {
		instances = append(instances, Instance{n, d.found[n.ID].expires})
	}
	return instances, d.revision, true
}
