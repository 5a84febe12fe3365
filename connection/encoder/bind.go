package encoder

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mulberrybeam/connection/dialer"
)

// errOtherInstance says that a target restarted since the call was decided
// on. Nothing of the call was sent.
var errOtherInstance = errors.New("the connection is to another instance of the target")

// boundConn is a connection whose other end said which instance it is. The
// instance stays the same while the connection lasts.
type boundConn struct {
	net.Conn
	instance string
	refused  atomic.Bool
}

// Write fails before it sends anything once the connection was refused.
func (c *boundConn) Write(data []byte) (int, error) {
	if c.refused.Load() {
		return 0, errOtherInstance
	}
	return c.Conn.Write(data)
}

// refuse makes the connection fail when it is to another instance than the
// expected one, or to one that has closed it, and says whether it did. An empty
// instance expects nothing.
func refuse(connection net.Conn, instance string) bool {
	bound, ok := connection.(*boundConn)
	if ok && instance != "" && (bound.instance != instance || !dialer.Quiet(bound.Conn)) {
		bound.refused.Store(true)
		return true
	}
	return false
}

// dialBound connects and asks the target for its load report, which names its
// instance. Without this a call meant for a warm instance could reach the cold
// one that took its place, over a connection that net/http opens by itself.
func dialBound(ctx context.Context, tcp *net.Dialer, network, address string) (net.Conn, error) {
	connection, err := tcp.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	instance, err := askInstance(connection, tcp.Timeout, address)
	if err != nil {
		_ = connection.Close()
		return nil, fmt.Errorf("instance of %s: %w", address, err)
	}
	return &boundConn{Conn: connection, instance: instance}, nil
}

func askInstance(connection net.Conn, timeout time.Duration, address string) (string, error) {
	if err := connection.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return "", err
	}
	if err := request.Write(connection); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK || response.Close {
		return "", fmt.Errorf("load report refused with status %d", response.StatusCode)
	}
	var load Load
	if err := json.Unmarshal(data, &load); err != nil {
		return "", err
	}
	return load.Instance, connection.SetDeadline(time.Time{})
}
