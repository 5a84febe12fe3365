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
	customers = 6
	// answerTokens is the number of tokens generated for each prompt.
	answerTokens = 16
	// historyRepeats yields a conversation history of about 3,000 tokens.
	historyRepeats = 400
	// exportTime is the time allowed for contexts to reach the stores. Exports
	// run at the lowest priority, so they can lag behind the answers.
	exportTime = 2 * time.Second
	// takeOutLimit is the maximum time until a zone that was taken out of
	// service gets no new requests.
	takeOutLimit = 5 * time.Second
)

// history returns the prompt prefix of a customer.
func history(customer int) string {
	return fmt.Sprintf("customer %d: ", customer) + strings.Repeat("a dive, a clip and a trail; ", historyRepeats)
}

// returns sends three prompts with a growing history for each customer: the first
// one, a second one that finds the context in an engine's cache, and a third one
// after all engines restarted and lost their caches. It fails if the third round
// imports no context from a store.
func returns(ctx context.Context, s *show) error {
	first := func(customer int) string { return history(customer) + "tell me the story" }
	again := func(customer int) string { return first(customer) + " of last week" }
	later := func(customer int) string { return again(customer) + " once more" }
	if err := s.round(ctx, "first prompt", first); err != nil {
		return err
	}
	if err := s.round(ctx, "follow-up, context cached", again); err != nil {
		return err
	}
	if err := sleep(ctx, exportTime); err != nil {
		return err
	}
	for _, engine := range s.fleet.Engines {
		engine.Crash()
		if err := engine.Restart(); err != nil {
			return err
		}
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	before := time.Now().UnixMilli()
	if err := s.round(ctx, "follow-up after engine restarts", later); err != nil {
		return err
	}
	if s.sum(before).ImportedTokens == 0 {
		return errors.New("no context was imported from a store after the engine restarts")
	}
	return nil
}

// round sends one prompt for each customer and prints the time to first token and
// where the prompt tokens came from.
func (s *show) round(ctx context.Context, name string, prompt func(int) string) error {
	since := time.Now().UnixMilli()
	var slowest, total time.Duration
	for customer := range customers {
		body := fleet.Prompt(prompt(customer), answerTokens)
		entry := s.fleet.Entries[customer%len(s.fleet.Entries)]
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
	tokens := s.sum(since)
	s.say("%-33s time to first token: %4d ms average, %4d ms maximum; prompt tokens: %5d cached, %5d imported, %5d computed",
		name, (total / customers).Milliseconds(), slowest.Milliseconds(),
		tokens.CachedTokens, tokens.ImportedTokens, tokens.RecomputedTokens)
	return nil
}

// orders sends the same order with the same idempotency key to two entry processes
// concurrently, and fails unless it ran exactly once.
func orders(ctx context.Context, s *show) error {
	key := uuid.Must(uuid.NewV7()).String()
	body := []byte(`{"blank": "ash 2.9 m", "club":  "river"}`)
	path := "/v1/services/" + fleet.Service + "/" + fleet.OrderCall
	var group sync.WaitGroup
	for _, entry := range s.fleet.Entries[:2] {
		group.Go(func() {
			response, err := fleet.Post(ctx, entry, fleet.FirstWorkspace, path, body, http.Header{"Idempotency-Key": {key}})
			if err != nil {
				s.say("%s: %v", entry.ID, err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			text, _ := io.ReadAll(response.Body)
			s.say("%s answered with status %d: %s", entry.ID, response.StatusCode, strings.TrimSpace(string(text)))
		})
	}
	group.Wait()
	runs := 0
	for _, service := range s.fleet.Services {
		runs += service.RunsByKey(key)
	}
	s.say("the services ran the order %d time(s)", runs)
	if runs != 1 {
		return fmt.Errorf("the order ran %d times, want 1", runs)
	}
	return nil
}

// moveZone takes a zone out of service and brings it back while prompts are sent.
// It fails if a prompt fails.
func moveZone(ctx context.Context, s *show) error {
	zone := s.fleet.Layout.Zones[1]
	load := newLoad(ctx, s)
	err := load.watch(ctx, zone)
	failed, asked := load.stop()
	s.say("%d prompts were sent meanwhile, %d failed", asked, failed)
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d prompts failed", failed)
	}
	return err
}

// watch takes the zone out of service, waits until it gets no new prompts, brings it
// back and waits until it gets prompts again.
func (l *load) watch(ctx context.Context, zone mulberrybeam.ZoneName) error {
	if err := l.show.setZone(ctx, zone, mulberrybeam.ZoneOut); err != nil {
		return err
	}
	quiet, err := l.waitQuiet(ctx, zone)
	if err != nil {
		return err
	}
	l.show.say("zone %s got its last prompt %d ms after it was taken out", zone, quiet.Milliseconds())
	if quiet > takeOutLimit {
		return fmt.Errorf("zone %s still got prompts %s after it was taken out", zone, quiet)
	}
	if err := l.show.setZone(ctx, zone, mulberrybeam.ZoneIn); err != nil {
		return err
	}
	back, err := l.waitWork(ctx, zone)
	if err != nil {
		return err
	}
	l.show.say("zone %s got prompts again %d ms after it was brought back", zone, back.Milliseconds())
	return nil
}

// setZone sets the state of a zone in the environment document, as the zone
// commands do.
func (s *show) setZone(ctx context.Context, zone mulberrybeam.ZoneName, state mulberrybeam.ZoneState) error {
	objects, cleanup := s.fleet.Objects()
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
