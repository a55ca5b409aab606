// Package proof holds end-to-end tests that run the whole system as separate
// processes and inject the failures that it must tolerate. docs/PROMISES.md lists
// these tests.
package proof
