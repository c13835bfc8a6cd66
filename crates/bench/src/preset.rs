//! Presets: cluster sizes, ranks and loads of the two modelled deployments.

use conf::Name;
use serde::{Deserialize, Serialize};
use standin::{
    arrivals::{RequestLengths, Workload},
    engine,
    load::{LoadSettings, engine_capacity},
};

use crate::Case;

/// The cluster and the load of one modelled deployment. Times and rates are simulated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// Availability zones, to which instances and upstreams are assigned in turn.
    pub availability_zones: Vec<Name>,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of entry instances that are also voters.
    pub voters: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of workers of the plain service.
    pub workers: usize,
    /// Maximum number of waiting requests in the queue of each rank on one instance, most urgent rank first.
    pub queue_limits: Vec<usize>,
    /// Share of tokens that each rank keeps during floods of other ranks, from 0 to 1, most urgent rank first.
    pub floors: Vec<f64>,
    /// Delay of load reports in the case `stale_reports`, in milliseconds.
    pub stale_lag_ms: f64,
    /// Settings of every engine. The time scale is taken from `load`.
    pub engine: engine::Settings,
    /// Settings of the load generator. Entries, seed, workload and capacity are set for each run.
    pub load: LoadSettings,
}

impl Preset {
    /// Returns the settings of the load generator in a case.
    pub fn load_settings(&self, case: Case, seed: u64, entries: Vec<Name>) -> LoadSettings {
        let workload = case.workload();
        LoadSettings {
            entries,
            seed,
            workload,
            capacity_requests_per_s: self.capacity(workload),
            ..self.load.clone()
        }
    }

    /// Returns the settings of an engine in a case.
    pub fn engine_settings(&self, case: Case) -> engine::Settings {
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

    /// Returns the rate of requests per second that all engines together can serve. For a swing, this is the rate in
    /// the half of the period with the lower rate.
    fn capacity(&self, workload: Workload) -> f64 {
        let rate = |mix: RequestLengths| engine_capacity(&self.engine, mix, self.engines);
        match workload {
            Workload::Swing => rate(self.load.prompt_heavy).min(rate(self.load.output_heavy)),
            _ => rate(self.load.mix),
        }
    }
}
