package storecaller_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
	"mulberrybeam/connection/storecaller"
	"mulberrybeam/process/standin/store"
)

var _ mulberrybeam.StoreClient = (*storecaller.Caller)(nil)

func setUp(t *testing.T, options ...store.Option) (*store.Store, *storecaller.Caller, mulberrybeam.Store) {
	t.Helper()
	is := is.New(t)
	fake, closeFake, err := store.New(options...)
	is.NoErr(err)
	t.Cleanup(closeFake)
	caller, closeCaller := storecaller.New()
	t.Cleanup(closeCaller)
	return fake, caller, mulberrybeam.Store{ID: "store-1", Address: fake.Address()}
}

func put(t *testing.T, url, checksum string, body []byte) int {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, bytes.NewReader(body))
	is.NoErr(err)
	request.Header.Set("X-Checksum", checksum)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	return response.StatusCode
}

// writeContext writes a context's data and then its manifest, and returns the
// status of both requests.
func writeContext(t *testing.T, fake *store.Store, key mulberrybeam.BlockKey, blocks int, generation uint64, data []byte) (int, int) {
	t.Helper()
	checksum := encoder.FormatChecksum(xxhash.Sum64(data))
	base := fmt.Sprintf("http://%s/v1/contexts/%s", fake.Address(), encoder.FormatKey(key))
	dataStatus := put(t, fmt.Sprintf("%s/data?generation=%d", base, generation), checksum, data)
	manifest, err := json.Marshal(encoder.Manifest{
		Key: encoder.FormatKey(key), Blocks: blocks, Bytes: int64(len(data)), Checksum: checksum, Generation: generation,
	})
	is.New(t).NoErr(err)
	return dataStatus, put(t, base+"/manifest", "", manifest)
}

// Guards against manifests that are in the wrong order, that were not asked for,
// or whose block count does not match the key.
func TestManifests(t *testing.T) {
	is := is.New(t)
	fake, caller, storeInfo := setUp(t)
	keys := []mulberrybeam.BlockKey{{1}, {2}, {3}}
	for n, blocks := range []int{1, 2, 1} { // the last block count is wrong
		dataStatus, manifestStatus := writeContext(t, fake, keys[n], blocks, 7, []byte("data"))
		is.Equal(dataStatus, http.StatusNoContent)
		is.Equal(manifestStatus, http.StatusNoContent)
	}
	manifests, err := caller.Manifests(t.Context(), storeInfo, keys)
	is.NoErr(err)
	is.Equal(len(manifests), 2)
	is.Equal(manifests[0], mulberrybeam.Manifest{
		Key: keys[1], Store: "store-1", Blocks: 2, Bytes: 4,
		Checksum: xxhash.Sum64String("data"), Generation: 7, Tier: mulberrybeam.TierMemory,
	})
	is.NoErr(caller.Delete(t.Context(), storeInfo, keys[1]))
	is.NoErr(caller.Delete(t.Context(), storeInfo, keys[1])) // a missing context is not an error
	manifests, err = caller.Manifests(t.Context(), storeInfo, keys)
	is.NoErr(err)
	is.Equal(len(manifests), 1)
}

// Guards against a manifest being accepted for data that is missing or has
// another size, and against data that can be read before its manifest.
func TestManifestIsWrittenLast(t *testing.T) {
	is := is.New(t)
	fake, caller, place := setUp(t)
	key := mulberrybeam.BlockKey{1}
	base := fmt.Sprintf("http://%s/v1/contexts/%s", fake.Address(), encoder.FormatKey(key))
	is.Equal(put(t, base+"/data?generation=1", "0", []byte("data")), http.StatusBadRequest)
	is.Equal(put(t, base+"/data?generation=1", encoder.FormatChecksum(xxhash.Sum64String("data")), []byte("data")), http.StatusNoContent)
	response, err := http.Get(base + "/data?generation=1")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusNotFound)
	is.Equal(put(t, base+"/manifest", "", []byte(`{"key":"`+encoder.FormatKey(key)+`","bytes":5,"generation":1}`)), http.StatusConflict)
	manifests, err := caller.Manifests(t.Context(), place, []mulberrybeam.BlockKey{key})
	is.NoErr(err)
	is.Equal(len(manifests), 0)
}

// Guards against hiding faults of a store, and against waiting for a slow store
// longer than CallTimeout.
func TestStoreFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(*store.Store)
		code  mulberrybeam.Code
	}{
		"slow":   {func(s *store.Store) { s.SetFaults(func(f *store.Faults) { f.Delay = time.Minute }) }, mulberrybeam.CodeTimeout},
		"failed": {func(s *store.Store) { s.SetFaults(func(f *store.Faults) { f.FailNext = 1 }) }, mulberrybeam.CodeTargetFailed},
		"dead":   {func(s *store.Store) { s.Crash() }, mulberrybeam.CodeTargetFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake, caller, place := setUp(t)
			test.fault(fake)
			_, err := caller.Manifests(t.Context(), place, []mulberrybeam.BlockKey{{1}})
			var failure *mulberrybeam.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code, test.code)
			is.Equal(failure.Peer, "store-1")
		})
	}
}

// Guards against a full store that accepts data, and against a memory tier that
// survives a restart.
func TestCapacityAndMemoryTier(t *testing.T) {
	is := is.New(t)
	fake, caller, place := setUp(t, store.WithCapacity(100, 100))
	data := make([]byte, 80)
	keys := []mulberrybeam.BlockKey{{1}, {2}, {3}}
	for n, want := range []int{http.StatusNoContent, http.StatusNoContent, http.StatusInsufficientStorage} {
		dataStatus, _ := writeContext(t, fake, keys[n], n+1, 1, data)
		is.Equal(dataStatus, want)
	}
	is.Equal(fake.Count("full-refused"), 1)
	is.NoErr(fake.Restart())
	manifests, err := caller.Manifests(t.Context(), place, keys)
	is.NoErr(err)
	is.Equal(len(manifests), 1)
	is.Equal(manifests[0].Tier, mulberrybeam.TierDisk)
}

// Guards against concurrent transfers that together exceed the link's rate.
func TestTransfersShareTheLink(t *testing.T) {
	is := is.New(t)
	fake, _, _ := setUp(t, store.WithLinkRate(1<<20))
	data := make([]byte, 128<<10) // takes 125 ms at the full link rate
	start := time.Now()
	done := make(chan struct{})
	for n := range 2 {
		go func() {
			writeContext(t, fake, mulberrybeam.BlockKey{byte(n)}, 1, 1, data)
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	is.True(time.Since(start) >= 245*time.Millisecond)
}
