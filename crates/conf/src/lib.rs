//! Settings of an instance, and the service configuration that operators apply.
//!
//! Each of the two is a folder of TOML files that are merged in the order of their names.
#![forbid(unsafe_code)]

pub mod admin;
pub mod canonical;
pub mod check;
pub mod diff;
pub mod keys;
pub mod load;
pub mod merge;
pub mod name;
pub mod problem;
pub mod reference;
pub mod service;
pub mod settings;

pub use canonical::content_id;
pub use load::Loaded;
pub use name::{Map, Name, Set};
pub use problem::{KeyPath, Origin, Problem, Severity};
pub use service::{
    ClientAccount, Fencing, Idempotency, Model, RankPolicy, Role, Route, Service, ServiceConfig,
    ServiceKind, Upstream,
};
pub use settings::Settings;
