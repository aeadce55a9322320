// Package memory bounds the bytes that callers make a daemon hold: heads and
// bodies of requests, and answers on their way. When room is short, the
// connection that holds most and progresses least gives way.
package memory
