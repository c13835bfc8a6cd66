//! Sizes, ranks and load of the two users.

use conf::Name;
use serde::{Deserialize, Serialize};
use standin::{
    arrivals::{Mix, Workload},
    engine,
    load::{LoadSettings, engine_capacity},
};

use crate::Case;

/// The fleet and the load of one user. Times and rates are simulated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// Availability zones, over which instances and upstreams are spread in turn.
    pub availability_zones: Vec<Name>,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of entry instances that are voters too.
    pub voters: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of workers of the plain service.
    pub workers: usize,
    /// Requests that wait at most in each rank's queue on an instance.
    pub queue_limits: Vec<usize>,
    /// Floors of the ranks, most urgent first.
    pub floors: Vec<f64>,
    /// Age of load reports in the case of stale ones.
    pub stale_lag_ms: f64,
    /// Settings of every engine. The time scale is that of the load.
    pub engine: engine::Settings,
    /// Settings of the load. Entries, seed, workload and capacity are set for each run.
    pub load: LoadSettings,
}

impl Preset {
    /// Settings of the load in a case.
    pub fn load(&self, case: Case, seed: u64, entries: Vec<Name>) -> LoadSettings {
        let workload = case.workload();
        LoadSettings {
            entries,
            seed,
            workload,
            capacity_requests_per_s: self.capacity(workload),
            ..self.load.clone()
        }
    }

    /// Settings of an engine in a case.
    pub fn engine(&self, case: Case) -> engine::Settings {
        let load_lag_ms = match case {
            Case::StaleReports => self.stale_lag_ms,
            _ => self.engine.load_lag_ms,
        };
        engine::Settings {
            time_scale: self.load.time_scale,
            load_lag_ms,
            ..self.engine.clone()
        }
    }

    /// Requests a second that all engines serve; in a swing, in its slower half.
    fn capacity(&self, workload: Workload) -> f64 {
        let of = |mix: Mix| engine_capacity(&self.engine, mix, self.engines);
        match workload {
            Workload::Swing => of(self.load.prompt_heavy).min(of(self.load.output_heavy)),
            _ => of(self.load.mix),
        }
    }
}
