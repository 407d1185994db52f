// Package faker provides small stand-ins for the external systems that geraniumline uses in production:
// the platform's log service, VM list and weight store, and the endpoints (model engines and other
// services). Each stand-in serves HTTP and has fault switches that can be set at run time; most also
// keep a ledger of what they did. They are used by tests and by the standin program and are not part
// of the product.
package faker
