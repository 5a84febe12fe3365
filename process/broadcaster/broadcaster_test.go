package broadcaster_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/broadcaster"
)

// freeAddress returns an unused UDP address on the loopback interface.
func freeAddress(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

// Two hosts must receive each other's loads, also after one of them received a
// datagram that cannot be decoded.
func TestHostsShareLoads(t *testing.T) {
	is := is.New(t)
	own, peer := freeAddress(t), freeAddress(t)
	received := make(chan mulberrybeam.LoadUpdate, 100)
	dropped := make(chan error, 100)
	start := func(self mulberrybeam.ProcessID, address, other string) {
		b := &broadcaster.Broadcaster{
			Self:  self,
			Fleet: func() *mulberrybeam.Fleet { return &mulberrybeam.Fleet{PeerAddresses: []string{other}} },
			Loads: func() []mulberrybeam.SharedLoad {
				return []mulberrybeam.SharedLoad{{Target: "t", Load: mulberrybeam.TargetLoad{Requests: 3}}}
			},
			Receive: func(share mulberrybeam.LoadUpdate) { received <- share },
			OnError: func(err error) { dropped <- err },
		}
		stop, err := b.Listen(address)
		is.NoErr(err)
		t.Cleanup(stop)
	}
	start("a", own, peer)
	start("b", peer, own)
	conn, err := net.Dial("udp", own)
	is.NoErr(err)
	_, err = conn.Write([]byte("hello"))
	is.NoErr(err)
	sequences := map[mulberrybeam.ProcessID]uint64{}
	timeout := time.After(5 * time.Second)
	for len(sequences) < 2 || sequences["a"] < 2 || sequences["b"] < 2 {
		select {
		case share := <-received:
			is.Equal(share.Targets[0].Load.Requests, 3)
			sequences[share.From] = share.Sequence
		case <-timeout:
			t.Fatalf("timed out with the latest sequence numbers %v, want at least 2 from a and b", sequences)
		}
	}
	is.True(len(dropped) > 0)
}
