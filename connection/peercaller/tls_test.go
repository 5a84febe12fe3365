package peercaller_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/peercaller"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func sign(t testing.TB, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.NotBefore = time.Now().Add(-time.Hour)
	template.NotAfter = time.Now().Add(time.Hour)
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t testing.TB) authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	certificate := sign(t, template, template, key, key)
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return authority{certificate, key, pool}
}

func (a authority) issue(t testing.TB) tls.Certificate {
	t.Helper()
	key := newKey(t)
	certificate := sign(t, &x509.Certificate{
		Subject: pkix.Name{CommonName: "peer"}, DNSNames: []string{"mulberrybeam"},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.certificate, key, a.key)
	return tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: key}
}

// Guards against serving a client outside the fleet and against calling a
// server outside the fleet.
func TestMutualTLS(t *testing.T) {
	fleet, foreign := newAuthority(t), newAuthority(t)
	member := peercaller.WithMutualTLS(fleet.issue(t), fleet.pool)
	cases := []struct {
		name           string
		server, client []peercaller.Option
		served         bool
	}{
		{"both in the fleet", []peercaller.Option{member}, []peercaller.Option{member}, true},
		{"client without TLS", []peercaller.Option{member}, nil, false},
		{"client without a certificate", []peercaller.Option{member}, []peercaller.Option{peercaller.WithMutualTLS(tls.Certificate{}, fleet.pool)}, false},
		{"client of another authority", []peercaller.Option{member}, []peercaller.Option{peercaller.WithMutualTLS(foreign.issue(t), fleet.pool)}, false},
		{"server of another authority", []peercaller.Option{peercaller.WithMutualTLS(foreign.issue(t), fleet.pool)}, []peercaller.Option{member}, false},
		{"server without TLS", nil, []peercaller.Option{member}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			handler := &recordingHandler{}
			address := serve(t, handler.handle, test.server...)
			caller := newCaller(t, append(test.client, peercaller.WithTimeout(time.Second))...)
			_, err := caller.Call(t.Context(), address, mulberrybeam.FetchEnvironment{})
			is.Equal(err == nil, test.served)
			is.Equal(handler.calls.Load() > 0, test.served)
		})
	}
}
