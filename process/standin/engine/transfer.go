package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
	"mulberrybeam/process/standin/fixture"
)

// transferTimeout is the timeout of one transfer between the engine and a
// store.
const transferTimeout = 30 * time.Second

// importContext downloads a context from a store, verifies that the data
// matches the manifest and belongs to the requested keys, and adds it to the
// prefix cache.
func (e *Engine) importContext(w http.ResponseWriter, r *http.Request) {
	params, ok := fixture.ReadJSON[encoder.Import](w, r)
	if !ok {
		return
	}
	if len(params.Keys) == 0 || params.Keys[len(params.Keys)-1] != params.Key {
		fixture.WriteError(w, http.StatusBadRequest, "bad-request", "key is not the last element of keys", true)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), transferTimeout)
	defer cancel()
	data, err := e.downloadContext(ctx, params)
	switch {
	case err != nil:
		e.Add("imports-unavailable")
	case int64(len(data)) != params.Bytes || encoder.FormatChecksum(xxhash.Sum64(data)) != params.Checksum:
		e.Add("imports-corrupt")
		err = fmt.Errorf("data of %d bytes does not match the manifest", len(data))
	case !bytes.Equal(data, e.contextData(params.Salt, params.Keys)):
		e.Add("imports-foreign")
		err = fmt.Errorf("data belongs to another context")
	}
	if err != nil {
		fixture.WriteError(w, http.StatusConflict, "context-unavailable", err.Error(), true)
		return
	}
	e.mu.Lock()
	e.instance.cache.store(time.Now(), params.Salt, params.Version, params.Keys)
	e.mu.Unlock()
	e.Add("imports")
	fixture.WriteJSON(w, http.StatusOK, encoder.ImportResult{Tokens: len(params.Keys) * BlockTokens})
}

func (e *Engine) downloadContext(ctx context.Context, params encoder.Import) ([]byte, error) {
	call := encoder.Call{
		Method: http.MethodGet, Peer: params.StoreAddress, Step: mulberrybeam.StepImport,
		URL: fmt.Sprintf("http://%s/v1/contexts/%s/data?generation=%d", params.StoreAddress, params.Key, params.Generation),
	}
	response, err := encoder.Send(ctx, e.client, call)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, encoder.ReadRefusal(response, call)
	}
	return encoder.ReadLimited(response.Body)
}

func (e *Engine) contextData(salt string, keys []string) []byte {
	data := make([]byte, 0, len(keys)*e.settings.ExportBlockBytes)
	for _, key := range keys {
		data = append(data, BlockData(salt, key, e.settings.ExportBlockBytes)...)
	}
	return data
}

// exportContext uploads a cached context to a store: first the data, then the
// manifest that makes it readable.
func (e *Engine) exportContext(w http.ResponseWriter, r *http.Request) {
	params, ok := fixture.ReadJSON[encoder.Export](w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	cached, _ := e.instance.cache.lookup(params.Salt, params.Keys)
	e.mu.Unlock()
	if len(params.Keys) == 0 || cached < len(params.Keys) {
		e.Add("exports-unavailable")
		fixture.WriteError(w, http.StatusConflict, "context-unavailable", "context is not in the prefix cache", true)
		return
	}
	data := e.contextData(params.Salt, params.Keys)
	manifest := encoder.Manifest{
		Key: params.Keys[len(params.Keys)-1], Blocks: len(params.Keys), Bytes: int64(len(data)),
		Checksum: encoder.FormatChecksum(xxhash.Sum64(data)), Generation: params.Generation, Tier: "memory",
	}
	ctx, cancel := context.WithTimeout(r.Context(), transferTimeout)
	defer cancel()
	if err := e.uploadContext(ctx, params.StoreAddress, manifest, data); err != nil {
		e.Add("exports-failed")
		fixture.WriteError(w, http.StatusBadGateway, "context-unavailable", err.Error(), false)
		return
	}
	e.Add("exports")
	fixture.WriteJSON(w, http.StatusOK, manifest)
}

func (e *Engine) uploadContext(ctx context.Context, address string, manifest encoder.Manifest, data []byte) error {
	base := fmt.Sprintf("http://%s/v1/contexts/%s", address, manifest.Key)
	put := func(url, contentType string, body []byte) error {
		call := encoder.Call{
			Method: http.MethodPut, URL: url, Body: body, Peer: address, Step: mulberrybeam.StepExport,
			Header: http.Header{"Content-Type": {contentType}, "X-Checksum": {manifest.Checksum}},
		}
		_, err := encoder.Fetch[struct{}](ctx, e.client, call)
		return err
	}
	err := put(fmt.Sprintf("%s/data?generation=%d", base, manifest.Generation), "application/octet-stream", data)
	if err != nil {
		return err
	}
	content, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	return put(base+"/manifest", "application/json", content)
}
