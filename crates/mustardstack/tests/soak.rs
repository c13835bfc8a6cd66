//! A randomized soak: the real program as separate processes on loopback, with faults from outside.
//!
//! It checks from what callers and upstreams see that a non-idempotent request runs at most once, that "not run" is true,
//! that an answer is whole and the caller's own, and that an acknowledged configuration is not lost or reverted.
//! `SOAK_SEEDS=100..150` chooses the seeds and `SOAK_SECONDS` the length of each run.

mod soak_support;

use soak_support::{run, seeds};

/// Seeds that have failed once, with the cause. They run first.
const REGRESSIONS: [u64; 0] = [];

/// Guards against promises that break when processes are killed, paused and restarted while connections fail.
#[test]
fn promises_hold_under_random_faults() {
    for seed in REGRESSIONS.into_iter().chain(seeds()) {
        let outcome = run(seed);
        println!(
            "seed {seed}: {} answered, {} refused as not run, {} unknown, {} published, {} faults",
            outcome.answered, outcome.not_run, outcome.unknown, outcome.published, outcome.faults
        );
        assert!(
            outcome.broken.is_empty(),
            "seed {seed}: {:?}",
            outcome.broken
        );
        assert!(outcome.answered > 0, "seed {seed} served nothing");
    }
}
