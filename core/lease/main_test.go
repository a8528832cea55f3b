package lease_test

import (
	"os"
	"testing"

	"hickoryvane.example/core/prop"
)

func TestMain(m *testing.M) { os.Exit(prop.Run(m, "rapid.steps=150", "rapid.checks=500")) }
