package moves_test

import (
	"os"
	"testing"

	"hickoryvane.example/core/prop"
)

func TestMain(m *testing.M) { os.Exit(prop.Run(m, "rapid.checks=1000")) }
