//! Property tests with a fixed seed, for the tests of the other crates.
//!
//! The seed is fixed so that a CI result does not depend on random inputs. `QUICKCHECK_SEED=N` selects another seed
//! for longer manual runs.
//!
//! ```
//! seeded::quickcheck! {
//!     /// Guards against an addition whose result depends on the order of its operands.
//!     fn addition_is_commutative(a: u32, b: u32) -> bool {
//!         a.wrapping_add(b) == b.wrapping_add(a)
//!     }
//! }
//! ```
#![forbid(unsafe_code)]

use quickcheck::{Gen, QuickCheck};

/// Upper bound on the size of generated values, as passed to `quickcheck::Gen`.
const SIZE: usize = 100;

/// Seed that is used when `QUICKCHECK_SEED` is not set.
const DEFAULT_SEED: u64 = 1;

/// Returns a tester whose generator uses the fixed seed, or the one in `QUICKCHECK_SEED`.
///
/// # Panics
///
/// Panics if `QUICKCHECK_SEED` is not a number.
pub fn tester() -> QuickCheck {
    let seed = match std::env::var("QUICKCHECK_SEED") {
        Ok(text) => text.parse().expect("QUICKCHECK_SEED must be a number"),
        Err(_) => DEFAULT_SEED,
    };
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed))
}

/// Declares property tests as `quickcheck::quickcheck!` does, but runs them with [`tester`].
#[macro_export]
macro_rules! quickcheck {
    ($( $(#[$meta:meta])* fn $name:ident($($arg:ident: $kind:ty),* $(,)?) -> $result:ty $code:block )*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                fn property($($arg: $kind),*) -> $result $code
                $crate::tester().quickcheck(property as fn($($kind),*) -> $result);
            }
        )*
    };
}
