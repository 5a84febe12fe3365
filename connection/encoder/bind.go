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

// boundConn is a connection to a known instance of a target. The instance can't
// change while the connection is open.
type boundConn struct {
	net.Conn
	instance string
	refused  atomic.Bool
}

// Write fails without sending anything once refuse has marked the connection.
func (c *boundConn) Write(data []byte) (int, error) {
	if c.refused.Load() {
		return 0, errOtherInstance
	}
	return c.Conn.Write(data)
}

// refuse makes all further writes fail if the connection belongs to another
// instance than the expected one or was closed by the target, and reports
// whether it did so. An empty instance accepts every connection.
func refuse(connection net.Conn, instance string) bool {
	bound, ok := connection.(*boundConn)
	if ok && instance != "" && (bound.instance != instance || !dialer.Quiet(bound.Conn)) {
		bound.refused.Store(true)
		return true
	}
	return false
}

// dialBound connects to a target and requests its load report, which names the
// instance. Otherwise a call that was routed to a warm instance could reach the
// cold instance that replaced it, over a new connection opened by net/http.
func dialBound(ctx context.Context, tcp *net.Dialer, network, address string) (net.Conn, error) {
	connection, err := tcp.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	instance, err := askInstance(connection, tcp.Timeout, address)
	if err != nil {
		_ = connection.Close()
		return nil, fmt.Errorf("cannot determine the instance of %s: %w", address, err)
	}
	return &boundConn{Conn: connection, instance: instance}, nil
}

// askInstance requests the load report over a new connection and returns the
// instance that it names.
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
		return "", fmt.Errorf("load report needs status 200 and a persistent connection, got status %d", response.StatusCode)
	}
	var load Load
	if err := json.Unmarshal(data, &load); err != nil {
		return "", err
	}
	return load.Instance, connection.SetDeadline(time.Time{})
}
