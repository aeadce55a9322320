// Package setting reads the JSON settings of a daemon and the JSON documents
// that the platform publishes: register and rules.
//
// Each document is checked twice. An embedded JSON Schema checks the shape:
// keys, types, units and ranges. Go code checks what a schema cannot express:
// names that must be unique and references between parts. All faults are
// listed together, sorted by place, as wigeonladder.Errors with
// CodeBadSettings; a place is the file path and the JSON path, such as
//
//	config.json: register.services[2].servers[0].slots
//
// Validation depends on the document alone, so that all daemons decide alike
// about one revision. A document with any fault is rejected whole.
package setting
