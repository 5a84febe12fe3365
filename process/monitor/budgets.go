package monitor

import (
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/retrier"
)

// Budgets keeps this process's part of the retry budget of each service. Only
// request goroutines take its lock.
type Budgets struct {
	// retryRatio is the ratio of retries to requests that is allowed.
	retryRatio float64
	// floor is the retry rate that is allowed at any request rate, in retries
	// per second of all entry hosts together.
	floor   float64
	mutex   sync.Mutex
	budgets map[mulberrybeam.ServiceName]retrier.Budget
}

// NewBudgets returns budgets that allow a ratio of retries to the requests of
// each service or, if that is more, this process's part of floor retries per
// second.
func NewBudgets(retryRatio, floor float64) *Budgets {
	return &Budgets{retryRatio: retryRatio, floor: floor, budgets: map[mulberrybeam.ServiceName]retrier.Budget{}}
}

// CountRequest counts a new request to a service. hosts is the number of entry hosts
// that share its budget.
func (b *Budgets) CountRequest(service mulberrybeam.ServiceName, hosts int, now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budgets[service] = b.budgetOf(service, hosts, now).CountRequest(now)
}

// Decide decides whether to retry a request, within the budget of its service.
func (b *Budgets) Decide(turn mulberrybeam.Turn, service mulberrybeam.ServiceName, hosts int, request *mulberrybeam.Request, history retrier.History, err error) retrier.Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	decision, budget := retrier.Decide(turn, request, history, err, b.budgetOf(service, hosts, turn.Now))
	b.budgets[service] = budget
	return decision
}

func (b *Budgets) budgetOf(service mulberrybeam.ServiceName, hosts int, now time.Duration) retrier.Budget {
	floor := b.floor / float64(max(hosts, 1))
	budget, known := b.budgets[service]
	if !known {
		return retrier.NewBudgetWithLimits(now, b.retryRatio, floor)
	}
	budget.Floor = floor
	return budget
}
