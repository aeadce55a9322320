// Package crowd holds the tests of a daemon whose callers stay outside of all
// limits: it starts daemons as processes, sends them such a crowd, and checks
// that they live, stay within their memory and descriptors, and still answer.
// The checks depend on no time and on no share of served requests.
package crowd
