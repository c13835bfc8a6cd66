//! Settings of an experiment.

use std::{path::PathBuf, str::FromStr};

use conf::Name;
use serde::{Deserialize, Serialize};

use crate::{Case, Error, Policy, Preset, Result};

const COOPERATIVE: &str = include_str!("../presets/cooperative.toml");
const TRUST: &str = include_str!("../presets/trust.toml");

/// What is compared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the preset: `cooperative` or `trust`.
    pub preset: Name,
    /// Cases to run.
    pub cases: Vec<Case>,
    /// Policies to compare. Ratios are to `baseline`.
    pub policies: Vec<Policy>,
    /// Policy that the others are compared with.
    pub baseline: Policy,
    /// Seeds of the load. Every policy runs with each of them.
    pub seeds: Vec<u64>,
    /// Simulated duration of a run. 0 keeps that of the preset.
    pub duration_ms: f64,
    /// Simulated milliseconds in a real one. 0 keeps that of the preset.
    pub time_scale: f64,
    /// Offered load outside a flood, as a share of the capacity. 0 keeps that of the preset.
    pub load: f64,
    /// Folder that keeps settings and logs of every process. Empty for a temporary one.
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
            let message = format!("the baseline {} is not run", settings.baseline.name());
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
    /// The preset with the changes of these settings.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such preset.
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
