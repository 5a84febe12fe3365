package gauger

import (
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/retrier"
)

// Purse keeps this process's part of each service's budget for requests that
// are sent again. Only traffic takes its lock.
type Purse struct {
	share float64
	// floor is for all entry hosts together, in retries per second.
	floor   float64
	mutex   sync.Mutex
	budgets map[mulberrybeam.ServiceName]retrier.Budget
}

// NewPurse returns a purse with a share of a service's requests, or this
// process's part of floor retries a second.
func NewPurse(share, floor float64) *Purse {
	return &Purse{share: share, floor: floor, budgets: map[mulberrybeam.ServiceName]retrier.Budget{}}
}

// Count notes a new request to a service that hosts entry hosts serve.
func (p *Purse) Count(service mulberrybeam.ServiceName, hosts int, now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.budgets[service] = p.at(service, hosts, now).Count(now)
}

// Decide asks the retrier within the service's budget.
func (p *Purse) Decide(turn mulberrybeam.Turn, service mulberrybeam.ServiceName, hosts int, request *mulberrybeam.Request, history retrier.History, err error) retrier.Decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	decision, budget := retrier.Decide(turn, request, history, err, p.at(service, hosts, turn.Now))
	p.budgets[service] = budget
	return decision
}

func (p *Purse) at(service mulberrybeam.ServiceName, hosts int, now time.Duration) retrier.Budget {
	floor := p.floor / float64(max(hosts, 1))
	budget, known := p.budgets[service]
	if !known {
		return retrier.NewBudgetOf(now, p.share, floor)
	}
	budget.Floor = floor
	return budget
}
