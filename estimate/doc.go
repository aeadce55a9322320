// Package estimate estimates how soon a backend server answers, from the load that it is
// known to have and from the speed that its service and its machine have shown. Its types
// are values: a method that learns returns a new value.
package estimate
