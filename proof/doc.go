// Package proof holds end-to-end tests that run the real programs.
package proof
