//! Property tests with a seed that stays the same, for tests of the other crates.
//!
//! The verdict of CI must not depend on the seed of a run. `QUICKCHECK_SEED=N` chooses another
//! seed, for longer runs by hand.
//!
//! ```
//! seeded::quickcheck! {
//!     /// Guards against an addition that loses its order.
//!     fn addition_is_commutative(a: u32, b: u32) -> bool {
//!         a.wrapping_add(b) == b.wrapping_add(a)
//!     }
//! }
//! ```
#![forbid(unsafe_code)]

use quickcheck::{Gen, QuickCheck};

/// Size of generated values.
const SIZE: usize = 100;

/// Seed without `QUICKCHECK_SEED`.
const DEFAULT_SEED: u64 = 1;

/// Returns a tester whose generator has the fixed seed.
///
/// # Panics
///
/// Panics if `QUICKCHECK_SEED` is not a number.
pub fn tester() -> QuickCheck {
    let seed = match std::env::var("QUICKCHECK_SEED") {
        Ok(text) => text.parse().expect("QUICKCHECK_SEED is a number"),
        Err(_) => DEFAULT_SEED,
    };
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed))
}

/// Declares property tests like `quickcheck::quickcheck!`, with the fixed seed.
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
