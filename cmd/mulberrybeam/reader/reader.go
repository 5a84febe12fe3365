// Package reader fetches JSON documents from the operator listeners of entry
// processes.
package reader

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// Get fetches path from the operator listener of one entry process and decodes
// the JSON body.
func Get[T any](client *http.Client, address, path string, query url.Values) (T, error) {
	var value T
	endpoint := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	response, err := client.Get(endpoint.String())
	if err != nil {
		return value, fmt.Errorf("request to entry host %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return value, fmt.Errorf("entry host %s answered %s with status %s", address, path, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&value); err != nil {
		return value, fmt.Errorf("decode response of entry host %s: %w", address, err)
	}
	return value, nil
}

// GetAll fetches path from several entry processes. It returns the values of those
// that answered together with the joined errors of the others.
func GetAll[T any](client *http.Client, addresses []string, path string, query url.Values) ([]T, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no entry host given; use --entry ADDRESS, one for each zone")
	}
	values := []T{}
	var errs error
	for _, address := range addresses {
		value, err := Get[T](client, address, path, query)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		values = append(values, value)
	}
	return values, errs
}
