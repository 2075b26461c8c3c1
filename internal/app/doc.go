// Package app creates the parts of one entry instance, connects them and runs them.
package app
