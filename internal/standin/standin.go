// Package standin provides stand-ins of the external systems for tests and the quick start: the platform, a model
// engine, a plain service and the rating service. They are HTTP handlers that can inject faults.
package standin
