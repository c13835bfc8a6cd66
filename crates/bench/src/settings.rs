//! Settings of an experiment.

use std::{path::PathBuf, str::FromStr};

use conf::Name;
use serde::{Deserialize, Serialize};

use crate::{Case, Error, Policy, Preset, Result};

const COOPERATIVE: &str = include_str!("../presets/cooperative.toml");
const TRUST: &str = include_str!("../presets/trust.toml");

/// Settings of an experiment: what is compared, and under which load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the preset: `cooperative` or `trust`.
    pub preset: Name,
    /// Cases to run.
    pub cases: Vec<Case>,
    /// Policies to compare; must include `baseline`.
    pub policies: Vec<Policy>,
    /// Policy relative to which the ratios in the table are computed.
    pub baseline: Policy,
    /// Seeds of the load generator. Every policy runs with every seed.
    pub seeds: Vec<u64>,
    /// Simulated duration of a run in milliseconds; 0 for the duration in the preset.
    pub duration_ms: f64,
    /// Simulated milliseconds per real millisecond; 0 for the time scale in the preset.
    pub time_scale: f64,
    /// Offered load outside of floods, as a share of the engines' capacity; 0 for the load in the preset.
    pub load: f64,
    /// Folder for the settings, data and logs of all processes; empty for a temporary folder.
    pub work_folder: PathBuf,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            preset: Name::from_static_str("cooperative"),
            cases: vec![Case::Steady],
            policies: vec![Policy::Own, Policy::LeastOutstanding],
            baseline: Policy::LeastOutstanding,
            seeds: vec![1],
            duration_ms: 0.0,
            time_scale: 0.0,
            load: 0.0,
            work_folder: PathBuf::new(),
        }
    }
}

impl FromStr for Settings {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text)?;
        if !settings.policies.contains(&settings.baseline) {
            let message = format!("policies lack the baseline {}", settings.baseline.name());
            return Err(Error::Invalid(message));
        }
        if settings.seeds.is_empty() || settings.cases.is_empty() {
            let message = "at least one seed and one case are needed".to_owned();
            return Err(Error::Invalid(message));
        }
        Ok(settings)
    }
}

impl Settings {
    /// Returns the preset with the overrides in these settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the preset does not exist.
    pub fn preset(&self) -> Result<Preset> {
        let text = match self.preset.as_str() {
            "cooperative" => COOPERATIVE,
            "trust" => TRUST,
            other => {
                let message = format!("unknown preset {other:?}, expected cooperative or trust");
                return Err(Error::Invalid(message));
            }
        };
        let mut preset: Preset = toml::from_str(text)?;
        if self.duration_ms > 0.0 {
            preset.load.duration_ms = self.duration_ms;
        }
        if self.time_scale > 0.0 {
            preset.load.time_scale = self.time_scale;
        }
        if self.load > 0.0 {
            preset.load.load = self.load;
        }
        Ok(preset)
    }
}
