package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/editor"
	"mulberrybeam/process/standin/fleet"
)

const (
	customerCount = 6
	// answerTokens is the number of tokens generated for each prompt.
	answerTokens = 16
	// historyRepeats yields a conversation history of about 3,000 tokens.
	historyRepeats = 400
	// exportDelay is the time allowed for contexts to reach the stores. Exports
	// run at the lowest priority, so they can lag behind the answers.
	exportDelay = 2 * time.Second
	// takeOutLimit is the maximum time until a zone that was taken out of
	// service gets no new requests.
	takeOutLimit = 5 * time.Second
)

// history returns the prompt prefix of a customer.
func history(customer int) string {
	return fmt.Sprintf("customer %d: ", customer) + strings.Repeat("a dive, a clip and a trail; ", historyRepeats)
}

// sendFollowUps sends three prompts with a growing history for each customer: the
// first one, a second one that finds the context in an engine's cache, and a third
// one after all engines restarted and lost their caches. It fails if the third
// round imports no context from a store.
func sendFollowUps(ctx context.Context, r *runner) error {
	firstPrompt := func(customer int) string { return history(customer) + "tell me the story" }
	secondPrompt := func(customer int) string { return firstPrompt(customer) + " of last week" }
	thirdPrompt := func(customer int) string { return secondPrompt(customer) + " once more" }
	if err := r.sendRound(ctx, "first prompt", firstPrompt); err != nil {
		return err
	}
	if err := r.sendRound(ctx, "follow-up, context cached", secondPrompt); err != nil {
		return err
	}
	if err := sleep(ctx, exportDelay); err != nil {
		return err
	}
	for _, engine := range r.fleet.Engines {
		engine.Crash()
		if err := engine.Restart(); err != nil {
			return err
		}
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	since := time.Now().UnixMilli()
	if err := r.sendRound(ctx, "follow-up after engine restarts", thirdPrompt); err != nil {
		return err
	}
	if r.sumTokens(since).ImportedTokens == 0 {
		return errors.New("no context was imported from a store after the engine restarts")
	}
	return nil
}

// sendRound sends one prompt for each customer and prints the time to first token
// and where the prompt tokens came from.
func (r *runner) sendRound(ctx context.Context, name string, prompt func(int) string) error {
	since := time.Now().UnixMilli()
	var slowest, total time.Duration
	for customer := range customerCount {
		body := fleet.PromptBody(prompt(customer), answerTokens)
		entry := r.fleet.Entries[customer%len(r.fleet.Entries)]
		answer, err := fleet.Ask(ctx, entry, fleet.FirstWorkspace, body)
		if err != nil {
			return err
		}
		if err := answer.Check(body, answerTokens); err != nil {
			return fmt.Errorf("customer %d: %w", customer, err)
		}
		slowest = max(slowest, answer.FirstToken)
		total += answer.FirstToken
	}
	tokens := r.sumTokens(since)
	r.printf("%-33s time to first token: %4d ms average, %4d ms maximum; prompt tokens: %5d cached, %5d imported, %5d computed",
		name, (total / customerCount).Milliseconds(), slowest.Milliseconds(),
		tokens.CachedTokens, tokens.ImportedTokens, tokens.RecomputedTokens)
	return nil
}

// sendOrderTwice sends the same order with the same idempotency key to two entry
// processes concurrently, and fails unless it ran exactly once.
func sendOrderTwice(ctx context.Context, r *runner) error {
	key := uuid.Must(uuid.NewV7()).String()
	body := []byte(`{"blank": "ash 2.9 m", "club":  "river"}`)
	path := "/v1/services/" + fleet.Service + "/" + fleet.OrderCall
	var group sync.WaitGroup
	for _, entry := range r.fleet.Entries[:2] {
		group.Go(func() {
			response, err := fleet.Post(ctx, entry, fleet.FirstWorkspace, path, body, http.Header{"Idempotency-Key": {key}})
			if err != nil {
				r.printf("%s: %v", entry.ID, err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			text, _ := io.ReadAll(response.Body)
			r.printf("%s answered with status %d: %s", entry.ID, response.StatusCode, strings.TrimSpace(string(text)))
		})
	}
	group.Wait()
	runs := 0
	for _, service := range r.fleet.Services {
		runs += service.RunsByKey(key)
	}
	r.printf("the services ran the order %d time(s)", runs)
	if runs != 1 {
		return fmt.Errorf("the order ran %d times, want 1", runs)
	}
	return nil
}

// takeZoneOutAndBack takes a zone out of service and brings it back while prompts
// are sent. It fails if a prompt fails.
func takeZoneOutAndBack(ctx context.Context, r *runner) error {
	zone := r.fleet.Layout.Zones[1]
	generator := startLoad(ctx, r)
	err := generator.cycleZone(ctx, zone)
	failed, sent := generator.stop()
	r.printf("%d prompts were sent meanwhile, %d failed", sent, failed)
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d prompts failed", failed)
	}
	return err
}

// cycleZone takes the zone out of service, waits until it gets no new prompts,
// brings it back and waits until it gets prompts again.
func (g *loadGenerator) cycleZone(ctx context.Context, zone mulberrybeam.ZoneName) error {
	if err := g.runner.setZoneState(ctx, zone, mulberrybeam.ZoneOut); err != nil {
		return err
	}
	idleAfter, err := g.waitIdle(ctx, zone)
	if err != nil {
		return err
	}
	g.runner.printf("zone %s got its last prompt %d ms after it was taken out", zone, idleAfter.Milliseconds())
	if idleAfter > takeOutLimit {
		return fmt.Errorf("zone %s still got prompts %s after it was taken out", zone, idleAfter)
	}
	if err := g.runner.setZoneState(ctx, zone, mulberrybeam.ZoneIn); err != nil {
		return err
	}
	busyAfter, err := g.waitBusy(ctx, zone)
	if err != nil {
		return err
	}
	g.runner.printf("zone %s got prompts again %d ms after it was brought back", zone, busyAfter.Milliseconds())
	return nil
}

// setZoneState sets the state of a zone in the environment document, as the zone
// commands do.
func (r *runner) setZoneState(ctx context.Context, zone mulberrybeam.ZoneName, state mulberrybeam.ZoneState) error {
	objects, cleanup := r.fleet.Objects()
	defer cleanup()
	current, err := editor.Load(ctx, objects, fleet.Environment)
	if err != nil {
		return err
	}
	pointer, err := editor.ZonePointer(current.Environment, zone)
	if err != nil {
		return err
	}
	document, err := editor.Set(current.Object.Data, pointer, fmt.Sprintf("%q", state))
	if err != nil {
		return err
	}
	_, err = editor.Replace(ctx, objects, current, document)
	return err
}

// sleep waits for the duration, or returns an error once the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
