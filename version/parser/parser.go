// Package parser parses and validates the configuration document of an
// environment.
package parser

import (
	"time"

	"mulberrybeam"
	"mulberrybeam/version/decoder"
)

// Defaults of optional fields.
const (
	defaultSlots                = 3
	defaultColdLimit            = 2
	defaultWarmLimit            = 16
	defaultWarmRequests         = 16
	defaultWarmTime             = 2 * time.Second
	defaultMaxTokens            = 1024
	defaultCallTimeout          = 10 * time.Second
	defaultWeight               = 1
	defaultRequestsPerSecond    = 50
	defaultMaxInFlight          = 64
	defaultPrefillRate          = 8000
	defaultLinkRate             = 125e6
	defaultQueueLength          = 256
	defaultQueueTimeout         = 2 * time.Second
	defaultRequestTimeout       = 2 * time.Minute
	defaultFirstTokenTarget     = 850 * time.Millisecond
	defaultIdempotencyRetention = 24 * time.Hour
	defaultPlatformWriteRate    = 300
	defaultPlatformReadRate     = 2000
)

// Parse decodes a document, fills in defaults and validates the result. If the
// document is invalid, the error is a decoder.Problems.
func Parse(data []byte) (*mulberrybeam.Environment, error) {
	document, err := decoder.Decode(data, mulberrybeam.Environment{})
	if err != nil {
		return nil, err
	}
	fillResourceDefaults(&document.Value)
	fillTargetDefaults(&document.Value)
	fillLimitDefaults(&document.Value.Limits)
	if problems := check(document); len(problems) > 0 {
		return nil, problems
	}
	return &document.Value, nil
}

func fillResourceDefaults(environment *mulberrybeam.Environment) {
	for i := range environment.Regions {
		for j := range environment.Regions[i].Zones {
			zone := &environment.Regions[i].Zones[j]
			setDefault(&zone.State, mulberrybeam.ZoneIn)
			setDefault(&zone.Slots, defaultSlots)
		}
	}
	for i := range environment.Models {
		setDefault(&environment.Models[i].MaxTokens, defaultMaxTokens)
	}
	for i := range environment.Services {
		for j := range environment.Services[i].Calls {
			setDefault(&environment.Services[i].Calls[j].Timeout, defaultCallTimeout)
		}
	}
	for i := range environment.Workspaces {
		workspace := &environment.Workspaces[i]
		setDefault(&workspace.Weight, defaultWeight)
		setDefault(&workspace.RequestsPerSecond, defaultRequestsPerSecond)
		setDefault(&workspace.MaxInFlight, defaultMaxInFlight)
	}
}

func fillTargetDefaults(environment *mulberrybeam.Environment) {
	for i := range environment.EngineGroups {
		group := &environment.EngineGroups[i]
		setDefault(&group.ColdLimit, defaultColdLimit)
		setDefault(&group.WarmLimit, defaultWarmLimit)
		setDefault(&group.WarmRequests, defaultWarmRequests)
		setDefault(&group.WarmTime, defaultWarmTime)
		setDefault(&group.PrefillRate, defaultPrefillRate)
	}
	for i := range environment.ServiceGroups {
		group := &environment.ServiceGroups[i]
		setDefault(&group.ColdLimit, defaultColdLimit)
		setDefault(&group.WarmLimit, defaultWarmLimit)
		setDefault(&group.WarmRequests, defaultWarmRequests)
		setDefault(&group.WarmTime, defaultWarmTime)
	}
	for i := range environment.Stores {
		setDefault(&environment.Stores[i].LinkRate, defaultLinkRate)
	}
}

func fillLimitDefaults(limits *mulberrybeam.Limits) {
	setDefault(&limits.QueueLength, defaultQueueLength)
	setDefault(&limits.QueueTimeout, defaultQueueTimeout)
	setDefault(&limits.RequestTimeout, defaultRequestTimeout)
	setDefault(&limits.FirstTokenTarget, defaultFirstTokenTarget)
	setDefault(&limits.IdempotencyRetention, defaultIdempotencyRetention)
	setDefault(&limits.PlatformWriteRate, defaultPlatformWriteRate)
	setDefault(&limits.PlatformReadRate, defaultPlatformReadRate)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
