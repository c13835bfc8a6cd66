//! Settings of an instance and the service configuration that operators apply.
//!
//! Both are written as folders of TOML files that are merged in the order of their names.
#![forbid(unsafe_code)]

pub mod admin;
pub mod name;
pub mod service;
pub mod settings;

pub use name::{Map, Name, Set};
pub use service::{
    Fencing, Idempotency, Model, RankPolicy, Role, Route, Service, ServiceConfig, ServiceKind,
    Tenant, Upstream,
};
pub use settings::Settings;
