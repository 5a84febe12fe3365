package server

import (
	"net/http"
	"net/http/httputil"
	"net/url"

	"mulberrybeam"
)

// flushAtOnce passes each event on as it comes.
const flushAtOnce = -1

// ProxyTo returns a Proxy over "http" or "https". addressOf returns the caller-facing
// "ip:port" of a live entry process of the zone, and false for others.
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
			FlushInterval: flushAtOnce,
			// The caller gets the same refusal as for an unknown process.
			ErrorHandler: func(http.ResponseWriter, *http.Request, error) { reached = false },
		}
		proxy.ServeHTTP(response, request)
		return reached
	}
}

// boundWriter limits the time of each write.
type boundWriter struct {
	http.ResponseWriter
	bound func()
}

// Write writes within the time bound.
func (w boundWriter) Write(data []byte) (int, error) {
	w.bound()
	return w.ResponseWriter.Write(data)
}

// Flush passes on what was written.
func (w boundWriter) Flush() {
	if flusher, can := w.ResponseWriter.(http.Flusher); can {
		flusher.Flush()
	}
}
