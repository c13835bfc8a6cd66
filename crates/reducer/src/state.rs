//! The state of an instance and its transition function.

use conf::Settings;
use quorum::Recovered;

use crate::effect::Effect;
use crate::event::Event;

/// What an instance knows at its start.
#[derive(Clone, Debug, Default)]
pub struct Start {
    /// Settings of the instance.
    pub settings: Settings,
    /// Number of this process among the instance's, increasing over restarts.
    pub incarnation: u64,
    /// Storage id and durable state of the control replica, on a voter.
    pub replica: Option<(u64, Recovered)>,
    /// Seed of every generator in the state.
    pub seed: u64,
}

/// The state of an instance.
#[derive(Debug)]
pub struct State {
    start: Start,
}

impl State {
    /// Creates the state of a process that has just started.
    pub fn new(start: Start, _now_ms: u64) -> Self {
        Self { start }
    }

    /// Returns the settings of the instance.
    pub fn settings(&self) -> &Settings {
        &self.start.settings
    }
}

/// Handles one event and appends the effects.
pub fn step(_state: &mut State, _now_ms: u64, _event: Event, _effects: &mut Vec<Effect>) {}
