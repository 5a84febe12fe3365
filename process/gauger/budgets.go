package gauger

import (
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/retrier"
)

// Budgets keeps this process's part of each service's budget for requests that
// are sent again. Only traffic takes its lock.
type Budgets struct {
	share float64
	// floor is for all entry hosts together, in retries per second.
	floor   float64
	mutex   sync.Mutex
	budgets map[mulberrybeam.ServiceName]retrier.Budget
}

// NewBudgets returns budgets of a share of a service's requests, or this
// process's part of floor retries a second.
func NewBudgets(share, floor float64) *Budgets {
	return &Budgets{share: share, floor: floor, budgets: map[mulberrybeam.ServiceName]retrier.Budget{}}
}

// Count notes a new request to a service that hosts entry hosts serve.
func (b *Budgets) Count(service mulberrybeam.ServiceName, hosts int, now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budgets[service] = b.at(service, hosts, now).Count(now)
}

// Decide asks the retrier within the service's budget.
func (b *Budgets) Decide(turn mulberrybeam.Turn, service mulberrybeam.ServiceName, hosts int, request *mulberrybeam.Request, history retrier.History, err error) retrier.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	decision, budget := retrier.Decide(turn, request, history, err, b.at(service, hosts, turn.Now))
	b.budgets[service] = budget
	return decision
}

func (b *Budgets) at(service mulberrybeam.ServiceName, hosts int, now time.Duration) retrier.Budget {
	floor := b.floor / float64(max(hosts, 1))
	budget, known := b.budgets[service]
	if !known {
		return retrier.NewBudgetOf(now, b.share, floor)
	}
	budget.Floor = floor
	return budget
}
