// Package proof holds the tests of whole sessions that run the real programs.
package proof
