// Package faker holds small stand-ins for what geraniumline meets in production: the platform's log
// service, VM list and weight store, and the endpoints (model engines and neighbouring services).
// Each is an http.Handler with fault switches and a ledger, for tests and for the standin program.
// Nothing of it is part of the product.
package faker
