package gather_test

import (
	"testing"

	"github.com/sardinespindle/sardinespindle/internal/testkit"
)

func TestGather(t *testing.T) { testkit.Run(t, "gather") }
