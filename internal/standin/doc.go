// Package standin implements small stand-ins for the components around the
// system: the platform (a table service and an object store), backend servers and
// callers. Tests and trials run the system against them. The package contains no
// logic of the system itself.
package standin
