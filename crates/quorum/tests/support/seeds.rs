//! Runs a property over many seeds.

use std::panic::{AssertUnwindSafe, catch_unwind};

use quickcheck::{Arbitrary, Gen, TestResult, Testable};

/// Environment variable that holds the only seed to run.
const SEED_VARIABLE: &str = "QUORUM_SEED";

/// Environment variable that overrides the number of fixed seeds, for longer runs.
const COUNT_VARIABLE: &str = "QUORUM_SEEDS";

/// Checks a property with the seeds from 0 up to but excluding `fixed` and with `generated` seeds from quickcheck.
pub fn check(name: &str, fixed: u64, generated: u64, property: fn(u64)) {
    if let Ok(seed) = std::env::var(SEED_VARIABLE) {
        return property(seed.parse().expect("the seed is a number"));
    }
    let count = std::env::var(COUNT_VARIABLE).map(|count| count.parse());
    let count = count.map_or(fixed, |count| count.expect("the count is a number"));
    for seed in 0..count {
        run(name, seed, property);
    }
    if generated == 0 {
        return;
    }
    let name = name.to_owned();
    let check = move |seed: u64| {
        run(&name, seed, property);
        TestResult::passed()
    };
    seeded::tester()
        .tests(generated)
        .quickcheck(Property(check));
}

fn run(name: &str, seed: u64, property: fn(u64)) {
    if let Err(panic) = catch_unwind(AssertUnwindSafe(|| property(seed))) {
        eprintln!("{name}: failed with seed {seed}");
        eprintln!("rerun: {SEED_VARIABLE}={seed} cargo test -p quorum {name} -- --nocapture");
        std::panic::resume_unwind(panic);
    }
}

/// A closure that quickcheck can call with generated seeds.
struct Property<F>(F);

impl<F: Fn(u64) -> TestResult + 'static> Testable for Property<F> {
    fn result(&self, g: &mut Gen) -> TestResult {
        (self.0)(u64::arbitrary(g))
    }
}
