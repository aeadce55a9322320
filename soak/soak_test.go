package soak

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Flags of TestSoak. A longer run by hand uses cmd/soak.
var (
	seed   = flag.Uint64("seed", 0, "seed of the faults; 0 runs the regression seeds")
	length = flag.Duration("length", 6*time.Second, "time with faults")
)

// regressionSeeds are the seeds that every run of the test executes: the first
// seed, and the seeds that once failed, each with its cause.
var regressionSeeds = []uint64{
	1,
	2002, // the stand-in answered streams before it read their bodies, which it recorded as empty
}

// Guards against a combination of faults under which a daemon runs a call twice,
// mixes answers, ignores a revoked key or a leaving server, or does not recover.
func TestSoak(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "wigeonladder")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../cmd/wigeonladder").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := regressionSeeds
	if *seed != 0 {
		seeds = []uint64{*seed}
	}
	for _, s := range seeds {
		r, err := Run(t.Context(), Options{
			Binary: binary, Seed: s, FaultDuration: *length, Daemons: 3, Servers: 6, Callers: 12, Dir: t.TempDir(),
		})
		is.NoErr(err)
		t.Logf("seed %d: %d calls, %d served, %d faults", s, r.Calls, r.Served, r.Faults)
		is.True(r.Served > 0)
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", s, v)
		}
	}
}
