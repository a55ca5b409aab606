// Package hostile holds tests that send a node what no ordinary client sends: heads
// and bodies without end, connections that are opened and left, senders and readers
// that are very slow.
package hostile
