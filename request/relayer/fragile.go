package relayer

import "mulberrybeam/request/chooser"

// reserve counts the attempt as sent to its target. It returns false if a limit of the
// target is reached.
func (a *attempt) reserve(choice chooser.Choice) bool {
	if choice.Fragile {
		return a.Monitor.ReserveShare(a.target.ID, a.load, choice.ColdLimit, choice.Shares)
	}
	return a.Monitor.Reserve(a.target.ID, a.load, choice.ColdLimit)
}

// borrowShare asks another host for a share of a fragile target, for a request that found
// no target.
func (e *exchange) borrowShare() {
	e.Monitor.Borrow(e.random, e.fleet, e.settings.ID, e.service)
}
