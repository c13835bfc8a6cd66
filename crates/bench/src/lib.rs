//! Experiments with real processes on loopback: instances, stand-in engines and services, and a load generator.
//!
//! ```
//! let settings: bench::Settings = "preset = \"trust\"\ncases = [\"swing\"]".parse().unwrap();
//! assert_eq!(settings.preset().unwrap().engines, 20);
//! ```
#![forbid(unsafe_code)]

pub mod case;
pub mod cluster;
pub mod error;
pub mod policy;
pub mod preset;
pub mod process;
pub mod run;
pub mod settings;
pub mod table;
pub mod usage;

pub use case::Case;
pub use error::{Error, Result};
pub use policy::Policy;
pub use preset::Preset;
pub use run::{Run, run};
pub use settings::Settings;
pub use table::Table;
