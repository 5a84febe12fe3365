package relayer

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

// answerBeginWindow is how long after the first byte of the response a crash may
// still have been caused by a prompt part of the request.
const answerBeginWindow = 2 * time.Second

// crashParts returns the prompt parts that may have crashed the target.
func (a *attempt) crashParts() []mulberrybeam.SharedPart {
	if a.firstByteAt > a.sentAt && a.Now()-a.firstByteAt > answerBeginWindow {
		return nil
	}
	return a.sharedParts()
}

func (e *exchange) sharedParts() []mulberrybeam.SharedPart {
	return quarantiner.SharedParts(e.inbound.Model, e.inbound.Parts)
}
