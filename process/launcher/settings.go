// Package launcher starts an entry process from its settings.
package launcher

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/decoder"
)

const (
	defaultBalancerDelay = 3 * time.Second
	defaultResumeGrace   = 10 * time.Second
)

// Settings configure an entry process.
type Settings struct {
	Environment mulberrybeam.EnvironmentName
	// Host is the name of the machine.
	Host     string
	Zone     mulberrybeam.ZoneName
	Platform PlatformSettings
	Caller   ListenerSettings
	Peer     ListenerSettings
	Operator ListenerSettings
	// Seeds are the peer addresses of entry processes in the same zone. The
	// process gets members and configuration from them while the platform,
	// which has the directory, is unreachable.
	Seeds []string
	// ContextSecretFile is the path of the file with the secret from which
	// context keys are derived. All entry hosts of the environment must use
	// the same secret.
	ContextSecretFile string
	Shutdown          ShutdownSettings
	// ResumeGrace is how long a run continues after its caller's connection
	// has broken.
	ResumeGrace time.Duration
}

// PlatformSettings configure access to the platform.
type PlatformSettings struct {
	// URL is the base URL of the object API.
	URL string
}

// ListenerSettings configure the address and the certificates of a listener.
type ListenerSettings struct {
	// Address has the form "ip:port"; with port 0 the system chooses a port.
	Address string
	// CertificateFile and KeyFile enable TLS.
	CertificateFile string
	KeyFile         string
	// AuthorityFile contains the certificates of the authority that signs
	// the certificates of the peers. It enables mutual TLS.
	AuthorityFile string
}

// ShutdownSettings configure a graceful shutdown.
type ShutdownSettings struct {
	// BalancerDelay is how long the process continues to accept requests
	// after it reports itself as not ready, so that the load balancer has
	// time to notice.
	BalancerDelay time.Duration
	// StreamLimit limits the wait for running streams; 0 means no limit.
	StreamLimit time.Duration
}

// ParseSettings parses and validates settings in JSON with comments. If the
// settings are invalid, the error is a decoder.Problems that lists all problems.
func ParseSettings(data []byte) (Settings, error) {
	defaults := Settings{
		Shutdown:    ShutdownSettings{BalancerDelay: defaultBalancerDelay},
		ResumeGrace: defaultResumeGrace,
	}
	document, err := decoder.Decode(data, defaults)
	if err != nil {
		return document.Value, err
	}
	problems := checkSettings(document)
	if len(problems) > 0 {
		return document.Value, problems
	}
	return document.Value, nil
}

func checkSettings(document decoder.Document[Settings]) decoder.Problems {
	settings := document.Value
	var problems decoder.Problems
	require := func(valid bool, path, allowed string) {
		if !valid {
			problems = append(problems, document.Problem(path, allowed))
		}
	}
	require(settings.Environment != "", "environment", "the name of an environment")
	require(settings.Host != "", "host", "the name of this host")
	require(settings.Zone != "", "zone", "the name of this host's availability zone")
	require(settings.ContextSecretFile != "", "context-secret-file", "the path of a file with at least 16 bytes")
	platform, err := url.Parse(settings.Platform.URL)
	require(err == nil && platform.Host != "", "platform.url", `a URL such as "https://10.0.0.1:6443"`)
	listeners := []struct {
		path     string
		settings ListenerSettings
	}{{"caller", settings.Caller}, {"peer", settings.Peer}, {"operator", settings.Operator}}
	for i, seed := range settings.Seeds {
		_, err := netip.ParseAddrPort(seed)
		require(err == nil, fmt.Sprintf("seeds[%d]", i), `an IP address and port such as "10.0.0.7:8444"`)
	}
	for _, listener := range listeners {
		_, err := netip.ParseAddrPort(listener.settings.Address)
		require(err == nil, listener.path+".address", `an IP address and port such as "10.0.0.7:8443"`)
		bothOrNeither := (listener.settings.CertificateFile == "") == (listener.settings.KeyFile == "")
		require(bothOrNeither, listener.path+".key-file", fmt.Sprintf("both certificate-file and key-file of %s, or neither", listener.path))
	}
	return problems
}
