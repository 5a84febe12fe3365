package objectcaller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
	"mulberrybeam/connection/pacer"
)

// Get reads an object.
func (c *Caller) Get(ctx context.Context, kind mulberrybeam.ObjectKind, name string) (mulberrybeam.Object, error) {
	body, err := exchange[encoder.ObjectBody](ctx, c, CallKey{mulberrybeam.OpGet, kind}, c.newCall(http.MethodGet, kind, name), nil)
	return body.Decode(kind), err
}

// List returns all objects of a kind.
func (c *Caller) List(ctx context.Context, kind mulberrybeam.ObjectKind) ([]mulberrybeam.Object, error) {
	list, err := exchange[encoder.ObjectList](ctx, c, CallKey{mulberrybeam.OpList, kind}, c.newCall(http.MethodGet, kind, ""), nil)
	if err != nil {
		return nil, err
	}
	objects := make([]mulberrybeam.Object, len(list.Items))
	for i, item := range list.Items {
		objects[i] = item.Decode(kind)
	}
	return objects, nil
}

// Create creates an object. It fails with CodeExists if the object exists.
func (c *Caller) Create(ctx context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	object.Version = ""
	body, err := exchange[encoder.ObjectBody](ctx, c, CallKey{mulberrybeam.OpCreate, object.Kind},
		c.newCall(http.MethodPost, object.Kind, ""), encoder.EncodeObject(object, c.environment))
	return body.Decode(object.Kind), err
}

// Update replaces an object. It fails with CodeConflict if the version has
// changed.
func (c *Caller) Update(ctx context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	body, err := exchange[encoder.ObjectBody](ctx, c, CallKey{mulberrybeam.OpUpdate, object.Kind},
		c.newCall(http.MethodPut, object.Kind, object.Name), encoder.EncodeObject(object, c.environment))
	return body.Decode(object.Kind), err
}

// Delete deletes an object. If a version is given, it must match the object's.
func (c *Caller) Delete(ctx context.Context, object mulberrybeam.Object) error {
	options := encoder.DeleteOptions{APIVersion: "v1", Kind: "DeleteOptions"}
	if object.Version != "" {
		options.Preconditions = &encoder.Preconditions{ResourceVersion: object.Version}
	}
	_, err := exchange[encoder.ObjectStatus](ctx, c, CallKey{mulberrybeam.OpDelete, object.Kind},
		c.newCall(http.MethodDelete, object.Kind, object.Name), options)
	return err
}

func (c *Caller) newCall(method string, kind mulberrybeam.ObjectKind, name string) encoder.Call {
	address := c.baseURL + "/apis/" + encoder.ObjectGroup + "/namespaces/" +
		url.PathEscape(c.environment) + "/" + url.PathEscape(string(kind))
	if name != "" {
		address += "/" + url.PathEscape(name)
	}
	return encoder.Call{
		Method: method, URL: address, Peer: peer, Step: mulberrybeam.StepPlatform,
		Header: http.Header{
			"User-Agent": {c.settings.UserAgent}, "Accept": {"application/json"},
			"Content-Type": {"application/json"},
		},
	}
}

// exchange sends one call within the call budget and decodes the response. It
// returns the zero value with every error.
func exchange[A any](ctx context.Context, c *Caller, key CallKey, call encoder.Call, request any) (A, error) {
	var result, zero A
	if request != nil {
		body, err := json.Marshal(request)
		if err != nil {
			return zero, c.refuse(key, mulberrybeam.CodeInternal, "cannot encode the request body", 0)
		}
		call.Body = body
	}
	verdict, err := c.admit(ctx, key)
	if err != nil {
		return zero, err
	}
	defer c.decrementPending(key)
	callCtx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	response, err := encoder.Send(callCtx, c.client, call)
	if err != nil {
		c.reportOutcome(key, verdict, outcomeOf(ctx), 0)
		return zero, platformDown(err)
	}
	defer response.Body.Close()
	body, err := encoder.ReadLimited(response.Body)
	if err == nil && response.StatusCode < http.StatusMultipleChoices {
		err = json.Unmarshal(body, &result)
	}
	if err != nil {
		c.reportOutcome(key, verdict, outcomeOf(ctx), 0)
		return zero, platformDown(encoder.TransportFailure(callCtx, call.Step, peer, "cannot read the response body", err))
	}
	outcome, wait, err := classify(response, body)
	c.reportOutcome(key, verdict, outcome, wait)
	if err != nil {
		return zero, err
	}
	return result, nil
}

// outcomeOf distinguishes a failure of the platform from a cancellation by the
// caller. An expired deadline of the caller counts as a failure, since the
// platform did not respond in time.
func outcomeOf(ctx context.Context) pacer.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return pacer.Cancelled
	}
	return pacer.Failed
}

// platformDown sets the code of a failed exchange to CodePlatformDown, as
// mulberrybeam.ObjectClient requires. A write may have taken effect unless
// NotRun is set.
func platformDown(err error) error {
	var failure *mulberrybeam.Failure
	if errors.As(err, &failure) {
		failure.Code = mulberrybeam.CodePlatformDown
		failure.Step = mulberrybeam.StepPlatform
	}
	return err
}

// reasonCodes and statusCodes map the reasons and HTTP status codes of the
// object API. The reason takes precedence, since status 409 has two reasons.
var (
	reasonCodes = map[string]mulberrybeam.Code{
		encoder.ReasonAlreadyExists: mulberrybeam.CodeExists,
		encoder.ReasonConflict:      mulberrybeam.CodeConflict,
		encoder.ReasonNotFound:      mulberrybeam.CodeNotFound,
		encoder.ReasonExpired:       mulberrybeam.CodeExpiredVersion,
		"Gone":                      mulberrybeam.CodeExpiredVersion,
	}
	statusCodes = map[int]mulberrybeam.Code{
		http.StatusConflict:              mulberrybeam.CodeConflict,
		http.StatusNotFound:              mulberrybeam.CodeNotFound,
		http.StatusGone:                  mulberrybeam.CodeExpiredVersion,
		http.StatusTooManyRequests:       mulberrybeam.CodePlatformBudget,
		http.StatusRequestEntityTooLarge: mulberrybeam.CodeBodyTooLarge,
		http.StatusUnauthorized:          mulberrybeam.CodeUnauthorized,
		http.StatusForbidden:             mulberrybeam.CodeUnauthorized,
	}
)

// classify returns the outcome of a response, the retry delay that the platform
// asks for, and the error.
func classify(response *http.Response, body []byte) (pacer.Outcome, time.Duration, error) {
	code := response.StatusCode
	if code < http.StatusMultipleChoices {
		return pacer.Succeeded, 0, nil
	}
	var status encoder.ObjectStatus
	_ = json.Unmarshal(body, &status)
	failure := failureOf(code, status)
	switch {
	case code == http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		failure.RetryAfter = time.Duration(max(seconds, 0)) * time.Second
		return pacer.RateLimited, failure.RetryAfter, failure
	case code >= http.StatusInternalServerError:
		return pacer.Failed, 0, failure
	}
	return pacer.Succeeded, 0, failure
}

// failureOf returns the failure for an error status. With a 4xx status nothing
// changed; with a 5xx status a write may have taken effect.
func failureOf(code int, status encoder.ObjectStatus) *mulberrybeam.Failure {
	failure := &mulberrybeam.Failure{
		Code: mulberrybeam.CodeBadRequest, Step: mulberrybeam.StepPlatform, Peer: peer,
		Message: "status " + strconv.Itoa(code) + " " + status.Reason + ": " + status.Message,
		NotRun:  code < http.StatusInternalServerError,
	}
	if code >= http.StatusInternalServerError {
		failure.Code = mulberrybeam.CodePlatformDown
		return failure
	}
	if known, found := statusCodes[code]; found {
		failure.Code = known
	}
	if known, found := reasonCodes[status.Reason]; found {
		failure.Code = known
	}
	return failure
}

// Watch calls changed for each change until the watch ends. It takes one read
// from the call budget and counts as pending until it ends.
func (c *Caller) Watch(
	ctx context.Context, kind mulberrybeam.ObjectKind, name, version string, changed func(mulberrybeam.ObjectChanged),
) error {
	key := CallKey{mulberrybeam.OpWatch, kind}
	verdict, err := c.admit(ctx, key)
	if err != nil {
		return err
	}
	defer c.decrementPending(key)
	query := url.Values{"watch": {"1"}}
	if version != "" {
		query.Set("resourceVersion", version)
	}
	if name != "" {
		query.Set("fieldSelector", "metadata.name="+name)
	}
	call := c.newCall(http.MethodGet, kind, "")
	call.URL += "?" + query.Encode()
	response, err := c.openWatch(ctx, key, verdict, call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return readWatch(ctx, kind, json.NewDecoder(response.Body), changed)
}

// openWatch sends the call of a watch. The call timeout applies only until the
// response headers arrive.
func (c *Caller) openWatch(ctx context.Context, key CallKey, verdict pacer.Decision, call encoder.Call) (*http.Response, error) {
	callCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.settings.CallTimeout, cancel)
	response, err := encoder.Send(callCtx, c.client, call)
	if inTime := timer.Stop(); err == nil && !inTime {
		_ = response.Body.Close()
		err = encoder.TransportFailure(callCtx, call.Step, peer, "watch did not open in time", callCtx.Err())
	}
	if err != nil {
		cancel()
		c.reportOutcome(key, verdict, outcomeOf(ctx), 0)
		return nil, platformDown(err)
	}
	response.Body = &cancelBody{response.Body, cancel}
	if response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		body, _ := encoder.ReadLimited(response.Body)
		outcome, wait, err := classify(response, body)
		c.reportOutcome(key, verdict, outcome, wait)
		return nil, err
	}
	c.reportOutcome(key, verdict, pacer.Succeeded, 0)
	return response, nil
}

// cancelBody cancels the context of a watch when its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

func readWatch(
	ctx context.Context, kind mulberrybeam.ObjectKind, decoder *json.Decoder, changed func(mulberrybeam.ObjectChanged),
) error {
	for {
		var event struct {
			Type   string          `json:"type"`
			Object json.RawMessage `json:"object"`
		}
		if err := decoder.Decode(&event); err != nil {
			return platformDown(encoder.TransportFailure(ctx, mulberrybeam.StepPlatform, peer, "watch ended", err))
		}
		if event.Type == encoder.WatchError {
			var status encoder.ObjectStatus
			_ = json.Unmarshal(event.Object, &status)
			return failureOf(status.Code, status)
		}
		var body encoder.ObjectBody
		if err := json.Unmarshal(event.Object, &body); err != nil {
			return platformDown(encoder.TransportFailure(ctx, mulberrybeam.StepPlatform, peer, "invalid watch event", err))
		}
		switch event.Type {
		case encoder.WatchAdded, encoder.WatchModified, encoder.WatchDeleted:
			changed(mulberrybeam.ObjectChanged{
				Object: body.Decode(kind), Deleted: event.Type == encoder.WatchDeleted,
			})
		}
	}
}
