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

// errOtherInstance is returned by writes to a connection whose instance is not
// the one that the call is meant for. Nothing of the call is sent.
var errOtherInstance = errors.New("connection is closed or belongs to another instance of the target")

// instanceConn is a connection to a known instance of a target. The instance
// can't change while the connection is open.
type instanceConn struct {
	net.Conn
	instance string
	rejected atomic.Bool
}

// Write fails without sending anything once the connection was rejected.
func (c *instanceConn) Write(data []byte) (int, error) {
	if c.rejected.Load() {
		return 0, errOtherInstance
	}
	return c.Conn.Write(data)
}

// rejectOtherInstance makes all further writes fail if the connection belongs
// to another instance than the expected one or was closed by the target, and
// reports whether it did so. An empty instance accepts every connection.
func rejectOtherInstance(connection net.Conn, instance string) bool {
	known, ok := connection.(*instanceConn)
	if ok && instance != "" && (known.instance != instance || !dialer.CanReuse(known.Conn)) {
		known.rejected.Store(true)
		return true
	}
	return false
}

// dialInstance connects to a target and requests its load report, which names
// the instance. Otherwise a call that was routed to a warm instance could reach
// the cold instance that replaced it, over a new connection opened by net/http.
func dialInstance(ctx context.Context, tcpDialer *net.Dialer, network, address string) (net.Conn, error) {
	connection, err := tcpDialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	instance, err := fetchInstance(connection, tcpDialer.Timeout, address)
	if err != nil {
		_ = connection.Close()
		return nil, fmt.Errorf("cannot determine the instance of %s: %w", address, err)
	}
	return &instanceConn{Conn: connection, instance: instance}, nil
}

// fetchInstance requests the load report over a new connection and returns the
// instance that it names.
func fetchInstance(connection net.Conn, timeout time.Duration, address string) (string, error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK || response.Close {
		return "", fmt.Errorf("load report needs status 200 and a persistent connection, got status %d", response.StatusCode)
	}
	var report LoadReport
	if err := json.Unmarshal(data, &report); err != nil {
		return "", err
	}
	return report.Instance, connection.SetDeadline(time.Time{})
}
