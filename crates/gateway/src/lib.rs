//! Decisions of instances that forward requests unchanged: which upstream gets a request, which requests wait or are
//! refused, and how replicas publish the configuration and the list of upstreams.
//!
//! [`entry::Entry`] and [`control::Control`] are reducers. They read no clock and do no I/O; the caller passes the time
//! and every event, and carries out the effects.
#![forbid(unsafe_code)]

pub mod accounts;
pub mod budget;
pub mod command;
pub mod config;
pub mod control;
pub mod cost;
pub mod demand;
pub mod duties;
pub mod duty;
pub mod entry;
pub mod exchange;
mod incarnations;
pub mod lease;
pub mod limits;
pub mod listing;
pub mod loads;
pub mod notices;
pub mod place;
pub mod prefix;
pub mod replicas;
pub mod revocation;
pub mod scaling;
pub mod speed;
pub mod speed_reports;
pub mod stages;
pub mod subscribers;
pub mod subscription;
pub mod upstream;
pub mod usage;
pub mod usage_reports;
pub mod voters;
pub mod wall_clock;

pub use accounts::{Account, AccountKeys, Accounts, KeyCheck, KeyHasher};
pub use config::{Config, ConfigError, EngineTraits, Limits, RequestKind, Route, Scaling, Service};
pub use duty::{DutyCall, DutyOutcome};
pub use entry::{Entry, EntrySettings};
pub use exchange::{
    Directive, Outcome, Prompt, Refusal, RefusalReason, Request, StatedLimit, UpstreamCall,
};
pub use revocation::KeyPolicy;
