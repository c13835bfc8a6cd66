//! Planning of engine roles and of weight loads.
//!
//! ```
//! use conf::Role;
//! use plan::{Demand, Engine, Planner, PlannerConfig};
//!
//! let engine = |name: &'static str, role| Engine { name: name.into(), role, ..Engine::default() };
//! let engines = [engine("e1", Role::Prefill), engine("e2", Role::Prefill), engine("e3", Role::Decode)];
//! let demand = Demand { prompt_tokens: 10_000.0, output_tokens: 18_000.0, window_ms: 10_000 };
//! let mut planner = Planner::new(PlannerConfig::default());
//! let mut changes = (0..12).filter_map(|step| planner.plan(step * 10_000, &"chat".into(), &demand, &engines));
//! assert_eq!(changes.next().unwrap().from, Role::Prefill);
//! ```
#![forbid(unsafe_code)]

pub mod capacity;
pub mod forecast;
pub mod loads;
pub mod roles;

pub use capacity::Engine;
pub use forecast::Demand;
pub use loads::{WeightLoad, WeightLoadQueue};
pub use roles::{Planner, PlannerConfig, PlannerMode, RoleChange};
