package scaling

import "burdocksaddle/stream"

// Software returns the software versions of all endpoints, by service.
func (p *Planner) Software() []stream.Origin {
	var all []stream.Origin
	seen := map[stream.Origin]bool{}
	for _, t := range p.endpoints {
		o := stream.Origin{Service: t.state.Service, Software: t.state.Software}
		if !seen[o] {
			seen[o] = true
			all = append(all, o)
		}
	}
	return all
}
