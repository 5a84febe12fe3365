package server

import (
	"net/http"
	"net/http/httputil"
	"net/url"

	"mulberrybeam"
)

// flushImmediately is a flush interval that makes the proxy flush after each
// write, so that it delays no event.
const flushImmediately = -1

// ProxyTo returns a Proxy that forwards requests over scheme, which is "http" or
// "https". addressOf returns the "ip:port" at which a live entry process of the
// zone serves callers, and false for any other process.
func ProxyTo(scheme string, addressOf func(mulberrybeam.ProcessID) (string, bool), transport http.RoundTripper) Proxy {
	return func(process mulberrybeam.ProcessID, response http.ResponseWriter, request *http.Request) bool {
		address, found := addressOf(process)
		if !found {
			return false
		}
		reached := true
		proxy := &httputil.ReverseProxy{
			Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: scheme, Host: address}) },
			Transport:     transport,
			FlushInterval: flushImmediately,
			// Nothing is written, so that the caller gets the same error as for
			// an unknown process.
			ErrorHandler: func(http.ResponseWriter, *http.Request, error) { reached = false },
		}
		proxy.ServeHTTP(response, request)
		return reached
	}
}

// deadlineWriter sets a new write deadline before each write.
type deadlineWriter struct {
	http.ResponseWriter
	setDeadline func()
}

// Write sets the write deadline and writes data.
func (w deadlineWriter) Write(data []byte) (int, error) {
	w.setDeadline()
	return w.ResponseWriter.Write(data)
}

// Flush flushes the wrapped writer if it supports flushing.
func (w deadlineWriter) Flush() {
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}
