package intentencoder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/connection/intentencoder"
	"mulberrybeam/request/intender"
)

// Guards against fields lost in encoding and against damaged records that
// decode without an error.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	createdAt := time.UnixMilli(1772366400123)
	record := intender.Record{
		Workspace: "w", Service: "orders", Call: "place", Key: "k", BodyHash: [32]byte{1, 2}, Attempt: "a", Process: "h/1",
		CreatedAt: createdAt, OpenUntil: createdAt.Add(time.Minute), Progress: intender.Done,
		Outcome: &intender.Outcome{Status: 201, ContentType: "text/plain", Body: []byte{0, 255}, BodyBytes: 2},
	}
	data, err := intentencoder.Encode(record)
	is.NoErr(err)
	decoded, err := intentencoder.Decode(data)
	is.NoErr(err)
	is.Equal(decoded, record)
	for _, damaged := range []string{"", "{}", `{"body-sha256":"00","progress":"open"}`} {
		_, err := intentencoder.Decode([]byte(damaged))
		is.True(err != nil)
	}
}
