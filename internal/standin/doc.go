// Package standin implements small stand-ins for the components around the
// system: the platform, backend servers and callers. Tests and trials run
// against them. It contains no logic of the system itself.
package standin
