// Package mulberrybeam defines the data types, control events and actions, and
// interfaces that the packages of the serving system share.
//
// The packages below it are grouped by the lifetime of their state: request,
// connection, version (one configuration revision) and process. This package
// contains no logic beyond small functions that derive values from its own
// data.
package mulberrybeam
