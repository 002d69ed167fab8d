// Package standin holds small stand-ins of the outside systems for tests and the quick start:
// the platform, a model engine, a plain service and the rating service.
package standin
