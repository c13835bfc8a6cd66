//! Parts of prompts under which engines crash: the evidence, the verdicts, and the trials that lift them.
//!
//! Instances report each crash with the parts of the prompts from which the engine was about to generate. A part that
//! stands in several crashes, and from which no engine has generated since, is blocked. The verdicts are merged between
//! all instances. After a pause, one request with a blocked part is tried again.
//!
//! Parts are named by the hash of their id. Nothing here reads a clock or does I/O. Clocks are not shared between
//! instances, so that reports and verdicts carry ages.
#![forbid(unsafe_code)]

pub mod collector;
pub mod evidence;
pub mod message;
pub mod reports;
pub mod suspects;
pub mod verdicts;

use std::hash::BuildHasher;

pub use collector::Collector;
pub use message::{CrashReport, Report, SoundReport, SuspectPart, Update, Verdict};
pub use suspects::{Admission, Suspects};
pub use verdicts::Verdicts;

/// Returns the key that stands for an engine in reports.
pub fn engine_key(id: &conf::Name) -> u64 {
    foldhash::fast::FixedState::default().hash_one(id)
}
