package catalog

import "strconv"

// Priority ranks requests: the lowest rank goes first. The zero value is not stated.
type Priority struct {
	// rankPlusOne is 0 if the priority is not stated.
	rankPlusOne int
}

// maxRank is the rank of the least urgent requests.
const maxRank = 9

// NewPriority returns the priority of the given rank, or one that is not stated if rank is nil.
// Ranks out of range count as the nearest one.
func NewPriority(rank *int) Priority {
	if rank == nil {
		return Priority{}
	}
	return Priority{min(max(*rank, 0), maxRank) + 1}
}

// Rank returns the rank, and whether it is stated.
func (p Priority) Rank() (rank int, stated bool) { return p.rankPlusOne - 1, p.rankPlusOne > 0 }

func (p Priority) String() string {
	if rank, stated := p.Rank(); stated {
		return strconv.Itoa(rank)
	}
	return "not stated"
}

// PriorityOf returns the priority of an account's requests on a route to a service. It is not
// stated if all requests to the service have the same.
func (c *Configuration) PriorityOf(r *Route, account *Account, service string) Priority {
	switch {
	case !c.rankedServices[service]:
		return Priority{}
	case account != nil && account.Priority != Priority{}:
		return account.Priority
	default:
		return r.Priority
	}
}

// indexPriorities finds the services whose requests differ in priority.
func (c *Configuration) indexPriorities() {
	c.rankedServices = make(map[string]bool)
	seen := make(map[string]map[Priority]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.Split {
			ranks := seen[share.Service]
			if ranks == nil {
				ranks = make(map[Priority]bool)
				seen[share.Service] = ranks
			}
			if !c.AuthRequired() || r.Public {
				ranks[r.Priority] = true
			}
			for j := range c.Accounts {
				if p := c.Accounts[j].Priority; p != (Priority{}) {
					ranks[p] = true
				} else {
					ranks[r.Priority] = true
				}
			}
			c.rankedServices[share.Service] = len(ranks) > 1
		}
	}
}
