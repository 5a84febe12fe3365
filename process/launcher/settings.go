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

// Settings are what an entry process is told at its start.
type Settings struct {
	Environment mulberrybeam.EnvironmentName
	// Host names the machine.
	Host     string
	Zone     mulberrybeam.ZoneName
	Platform PlatformSettings
	Caller   ListenerSettings
	Peer     ListenerSettings
	Operator ListenerSettings
	// Seeds are peer addresses of entry processes of the zone. The process
	// asks them for members and configuration while the platform, which has
	// the directory, cannot be reached.
	Seeds []string
	// ContextSecretFile holds the secret of context keys, the same on all
	// entry hosts of the environment.
	ContextSecretFile string
	Shutdown          ShutdownSettings
	// ResumeGrace is how long a run goes on after its caller's connection
	// broke.
	ResumeGrace time.Duration
}

// PlatformSettings say where the platform is.
type PlatformSettings struct {
	// URL is the base of the object API.
	URL string
}

// ListenerSettings are a listening address and its certificates.
type ListenerSettings struct {
	// Address is "ip:port"; port 0 lets the system choose one.
	Address string
	// CertificateFile and KeyFile turn on TLS.
	CertificateFile string
	KeyFile         string
	// AuthorityFile has the certificates of the authority that signs the
	// other side's certificates. It turns on mutual TLS.
	AuthorityFile string
}

// ShutdownSettings say how a graceful shutdown proceeds.
type ShutdownSettings struct {
	// BalancerDelay is how long the process goes on taking requests after
	// it says that it is not ready, so that the balancer can notice.
	BalancerDelay time.Duration
	// StreamLimit bounds the wait for running streams; 0 means no bound.
	StreamLimit time.Duration
}

// ParseSettings reads and checks settings in JSON with comments. It returns
// decoder.Problems with all faults found.
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
	require := func(holds bool, path, allowed string) {
		if !holds {
			problems = append(problems, document.Problem(path, allowed))
		}
	}
	require(settings.Environment != "", "environment", "the name of an environment")
	require(settings.Host != "", "host", "the name of this host")
	require(settings.Zone != "", "zone", "the name of this host's availability zone")
	require(settings.ContextSecretFile != "", "context-secret-file", "a file with at least 16 bytes")
	platform, err := url.Parse(settings.Platform.URL)
	require(err == nil && platform.Host != "", "platform.url", `a URL such as "https://10.0.0.1:6443"`)
	listeners := []struct {
		path     string
		settings ListenerSettings
	}{{"caller", settings.Caller}, {"peer", settings.Peer}, {"operator", settings.Operator}}
	for i, seed := range settings.Seeds {
		_, err := netip.ParseAddrPort(seed)
		require(err == nil, fmt.Sprintf("seeds[%d]", i), `an IP number and port such as "10.0.0.7:8444"`)
	}
	for _, listener := range listeners {
		_, err := netip.ParseAddrPort(listener.settings.Address)
		require(err == nil, listener.path+".address", `an IP number and port such as "10.0.0.7:8443"`)
		both := (listener.settings.CertificateFile == "") == (listener.settings.KeyFile == "")
		require(both, listener.path+".key-file", fmt.Sprintf("certificate-file and key-file of %s together", listener.path))
	}
	return problems
}
