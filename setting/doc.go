// Package setting reads the JSON settings of a daemon and the JSON documents
// that the platform publishes: register and rules.
//
// Each document is validated in two steps. An embedded JSON Schema checks keys,
// types, units and ranges. Go code checks what a schema cannot express: unique
// names and references between parts. All errors of a document are returned
// together, sorted by place, as wigeonladder.Errors with CodeBadSettings. A
// place is the file path and the JSON path, such as
//
//	config.json: register.services[2].servers[0].slots
//
// Validation depends on the document alone, so that all daemons accept or reject
// a revision alike. A document with any error is rejected as a whole.
package setting
