//go:build review2

package main

// cases has the scripts by name. The file of each script adds it.
var cases = map[string]func(*deployment) (int, error){}
