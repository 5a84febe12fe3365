// Package mulberrybeam holds the plain data, the control events and actions
// and the interfaces that the packages of the serving system share.
//
// The packages below it are laid out by life span: request, connection,
// version and process. The root package has no behaviour of its own beyond
// small derivations on its data.
package mulberrybeam
