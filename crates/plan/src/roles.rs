//! The role planner.

use conf::{Map, Name, Role, Set};

use crate::capacity::{Capacity, Engine};
use crate::forecast::{Demand, Forecast, Sample};

/// Demand below which a role is not needed, in tokens per second.
const NEEDED_MIN_TOKENS_PER_S: f64 = 1.0;
/// Smallest gain that counts, relative to the tokens served before the change.
const GAIN_MIN: f64 = 0.000_1;
/// Factor by which the net gain of a change to a dedicated role must exceed that of a change to a mixed role.
const MIXED_PREFERENCE: f64 = 1.1;

/// The method by which roles are planned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PlannerMode {
    /// By the forecast gain and the tokens lost, with hysteresis.
    #[default]
    Hysteresis,
    /// By the gain at the demand of the last window alone, as a baseline.
    NoHysteresis,
    /// Without any role change, as a baseline.
    Static,
}

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerConfig {
    /// The method by which roles are planned.
    pub mode: PlannerMode,
    /// Share of its prefill and decode speeds that a mixed engine reaches, because prompts delay the answers that run
    /// beside them.
    pub mixed_efficiency: f64,
    /// Time over which a gain is counted, in milliseconds.
    pub horizon_ms: u64,
    /// Factor by which the gain must exceed the tokens lost.
    pub gain_factor: f64,
    /// Number of consecutive windows in which the same change must be profitable.
    pub confirmations: u32,
    /// Shortest time between two changes of a service, in milliseconds.
    pub cooldown_ms: u64,
    /// Time after which a change that is not in effect counts as failed, in milliseconds.
    pub change_timeout_ms: u64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            mode: PlannerMode::Hysteresis,
            mixed_efficiency: 0.9,
            horizon_ms: 60_000,
            gain_factor: 1.5,
            confirmations: 2,
            cooldown_ms: 30_000,
            change_timeout_ms: 120_000,
        }
    }
}

/// A role change that the planner asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChange {
    /// Name of the engine.
    pub upstream: Name,
    /// The current role.
    pub from: Role,
    /// The role to take.
    pub to: Role,
    /// Additional tokens served over the horizon, by forecast.
    pub gain_tokens: f64,
    /// Tokens lost by the drain and the role change.
    pub lost_tokens: f64,
    /// Whether the KV cache is exported before the change.
    pub export_kv: bool,
}

/// A role change that the planner has returned and that is not in effect yet.
#[derive(Clone, Debug)]
struct Pending {
    upstream: Name,
    to: Role,
    deadline_ms: u64,
}

/// The planner's state of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    forecast: Forecast,
    pending: Option<Pending>,
    /// Time from which the next change may be returned, in milliseconds.
    next_change_ms: u64,
    /// The change that was profitable in the last consecutive windows, and the number of these windows.
    candidate: Option<(Role, Role, u32)>,
    /// Time since which a change from one role to another would have been a gain in every window, in milliseconds.
    gaining_since_ms: Map<(Role, Role), u64>,
}

/// Plans the roles of all services. Each service is planned on its own.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    config: PlannerConfig,
    services: Map<Name, ServiceState>,
}

impl Planner {
    /// Creates a planner without services.
    pub fn new(config: PlannerConfig) -> Self {
        Self {
            config,
            services: Map::default(),
        }
    }

    /// Records the demand of a window and returns a role change if one is profitable.
    ///
    /// No further change of the service is returned while a change is pending.
    pub fn plan(
        &mut self,
        now_ms: u64,
        service: &Name,
        demand: &Demand,
        engines: &[Engine],
    ) -> Option<RoleChange> {
        let config = &self.config;
        let state = self.services.entry(service.clone()).or_default();
        state.forecast.observe(demand);
        state.clear_finished_change(now_ms, engines);
        if config.mode == PlannerMode::Static || state.pending.is_some() {
            return None;
        }
        let samples = match config.mode {
            PlannerMode::NoHysteresis => vec![Sample::of(demand)],
            _ => state.forecast.samples(),
        };
        let assessments = assess_all(config, &samples, engines);
        state.track_gains(now_ms, &assessments);
        let profitable_changes = assessments
            .into_iter()
            .filter_map(|assessment| {
                let horizon_ms = state.horizon_ms(now_ms, config, &assessment);
                assessment.into_change(config, horizon_ms)
            })
            .collect();
        let change = best_change(profitable_changes);
        let change = match config.mode {
            PlannerMode::NoHysteresis => change?,
            _ => state.confirm(now_ms, config, change)?,
        };
        state.candidate = None;
        state.next_change_ms = now_ms + config.cooldown_ms;
        state.pending = Some(Pending {
            upstream: change.upstream.clone(),
            to: change.to,
            deadline_ms: now_ms + config.change_timeout_ms,
        });
        Some(change)
    }

    /// Records that a change of a service was refused or abandoned, so that another one may be planned.
    pub fn on_refused(&mut self, service: &Name) {
        if let Some(state) = self.services.get_mut(service) {
            state.pending = None;
        }
    }

    /// Removes services that are no longer configured.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&Name) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }
}

impl ServiceState {
    /// Clears the pending change if the engine has the role, has left or has exceeded the timeout.
    fn clear_finished_change(&mut self, now_ms: u64, engines: &[Engine]) {
        let Some(pending) = &self.pending else {
            return;
        };
        let engine = engines
            .iter()
            .find(|engine| engine.name == pending.upstream);
        let done = engine.is_none_or(|engine| engine.role == pending.to && !engine.draining);
        if done || now_ms >= pending.deadline_ms {
            self.pending = None;
        }
    }

    fn track_gains(&mut self, now_ms: u64, assessments: &[Assessment]) {
        let gaining: Set<(Role, Role)> = assessments
            .iter()
            .filter(|assessment| assessment.gain_per_s > 0.0)
            .map(|assessment| (assessment.change.from, assessment.change.to))
            .collect();
        self.gaining_since_ms
            .retain(|change, _| gaining.contains(change));
        for change in gaining {
            self.gaining_since_ms.entry(change).or_insert(now_ms);
        }
    }

    /// Returns the time over which a gain is counted, in milliseconds. A gain that has lasted longer than the horizon
    /// is assumed to last as long again. Otherwise a small lasting gain would never outweigh the loss.
    fn horizon_ms(&self, now_ms: u64, config: &PlannerConfig, assessment: &Assessment) -> f64 {
        let change = (assessment.change.from, assessment.change.to);
        let since_ms = self.gaining_since_ms.get(&change).copied();
        let lasted_ms = since_ms.map_or(0, |since_ms| now_ms - since_ms);
        lasted_ms.max(config.horizon_ms) as f64
    }

    /// Returns the change once it has been profitable in enough consecutive windows and the cooldown after the last
    /// change is over.
    fn confirm(
        &mut self,
        now_ms: u64,
        config: &PlannerConfig,
        change: Option<RoleChange>,
    ) -> Option<RoleChange> {
        let Some(change) = change else {
            self.candidate = None;
            return None;
        };
        let windows = match self.candidate {
            Some((from, to, windows)) if (from, to) == (change.from, change.to) => windows + 1,
            _ => 1,
        };
        self.candidate = Some((change.from, change.to, windows));
        let ready = windows >= config.confirmations && now_ms >= self.next_change_ms;
        ready.then_some(change)
    }
}

/// The estimated effect of changing one engine to one role.
#[derive(Clone, Debug)]
struct Assessment {
    change: RoleChange,
    gain_per_s: f64,
    unavailable_ms: f64,
}

impl Assessment {
    /// Returns the change if it is profitable over the horizon. With hysteresis this requires that the gain exceeds the
    /// tokens lost by the configured factor.
    fn into_change(mut self, config: &PlannerConfig, horizon_ms: f64) -> Option<RoleChange> {
        let change = &mut self.change;
        change.gain_tokens =
            self.gain_per_s * (horizon_ms - self.unavailable_ms).max(0.0) / 1_000.0;
        let is_profitable = match config.mode {
            PlannerMode::NoHysteresis => self.gain_per_s > 0.0,
            _ => change.gain_tokens > change.lost_tokens * config.gain_factor,
        };
        (is_profitable && self.gain_per_s > 0.0).then_some(self.change)
    }
}

/// Returns the change with the largest net gain. A change to a mixed role is preferred, and the first of equal changes
/// is returned.
fn best_change(changes: Vec<RoleChange>) -> Option<RoleChange> {
    let value = |change: &RoleChange| {
        let net = change.gain_tokens - change.lost_tokens;
        match change.to {
            Role::Mixed => net * MIXED_PREFERENCE,
            _ => net,
        }
    };
    changes
        .into_iter()
        .reduce(|best, change| match value(&best) >= value(&change) {
            true => best,
            false => change,
        })
}

/// Tokens served per second before, during and after a role change of an engine.
#[derive(Clone, Copy, Debug)]
struct ServedRates {
    before: f64,
    during: f64,
    after: f64,
}

/// The properties of a role change that determine the tokens served: the roles before and after, and the engine's
/// speeds.
type ServedKey = (Role, Role, u64, u64);

fn assess_all(config: &PlannerConfig, samples: &[Sample], engines: &[Engine]) -> Vec<Assessment> {
    let capacity = Capacity::of(engines, config.mixed_efficiency);
    let before = capacity.served_per_s(samples);
    let coverage = coverage_by_zone(engines);
    let needed = needed_roles(samples);
    // Many engines of a fleet have equal speeds, and the tokens served do not depend on which of these engines changes.
    let mut served_by_key: Map<ServedKey, ServedRates> = Map::default();
    let mut assessments = Vec::new();
    for engine in engines {
        if engine.draining || !zone_keeps_needed_roles(engine, &coverage, needed) {
            continue;
        }
        for to in [Role::Mixed, Role::Prefill, Role::Decode] {
            if engine.role == to {
                continue;
            }
            let speeds = (engine.prefill_tokens_per_s, engine.decode_tokens_per_s);
            let key = (engine.role, to, speeds.0.to_bits(), speeds.1.to_bits());
            let served = *served_by_key.entry(key).or_insert_with(|| {
                let without_engine = capacity.minus(engine, config.mixed_efficiency);
                let changed = without_engine.plus(engine, to, config.mixed_efficiency);
                ServedRates {
                    before,
                    during: without_engine.served_per_s(samples),
                    after: changed.served_per_s(samples),
                }
            });
            assessments.push(assess(engine, to, served));
        }
    }
    assessments
}

fn assess(engine: &Engine, to: Role, served: ServedRates) -> Assessment {
    let unavailable_ms = (engine.drain_ms + engine.role_change_ms) as f64;
    let cached_tokens = match engine.exports_kv {
        true => 0.0,
        false => engine.cached_tokens,
    };
    let unavailable_tokens = (served.before - served.during).max(0.0) * unavailable_ms / 1_000.0;
    let gain_per_s = served.after - served.before;
    // A difference caused by rounding is not a gain.
    let is_gain = gain_per_s > served.before * GAIN_MIN;
    Assessment {
        change: RoleChange {
            upstream: engine.name.clone(),
            from: engine.role,
            to,
            gain_tokens: 0.0,
            lost_tokens: unavailable_tokens + cached_tokens,
            export_kv: engine.exports_kv && engine.cached_tokens > 0.0,
        },
        gain_per_s: if is_gain { gain_per_s } else { 0.0 },
        unavailable_ms,
    }
}

/// Number of engines of a zone that compute prompts and that generate output. A mixed engine does both.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCoverage {
    prompt: u32,
    output: u32,
}

impl ZoneCoverage {
    fn of(role: Role) -> Self {
        Self {
            prompt: u32::from(role != Role::Decode),
            output: u32::from(role != Role::Prefill),
        }
    }
}

fn coverage_by_zone(engines: &[Engine]) -> Map<Name, ZoneCoverage> {
    let mut zones: Map<Name, ZoneCoverage> = Map::default();
    for engine in engines.iter().filter(|engine| !engine.draining) {
        let zone = zones.entry(engine.availability_zone.clone()).or_default();
        let own = ZoneCoverage::of(engine.role);
        zone.prompt += own.prompt;
        zone.output += own.output;
    }
    zones
}

/// Returns whether there is demand for prompts and whether there is demand for output.
fn needed_roles(samples: &[Sample]) -> (bool, bool) {
    let any = |rate: fn(&Sample) -> f64| {
        samples
            .iter()
            .map(rate)
            .any(|rate| rate >= NEEDED_MIN_TOKENS_PER_S)
    };
    (
        any(|sample| sample.prompt_per_s),
        any(|sample| sample.output_per_s),
    )
}

/// Returns whether the zone of an engine has another engine for each needed role.
fn zone_keeps_needed_roles(
    engine: &Engine,
    coverage: &Map<Name, ZoneCoverage>,
    needed: (bool, bool),
) -> bool {
    let zone = coverage.get(&engine.availability_zone).copied();
    let zone = zone.unwrap_or_default();
    let own = ZoneCoverage::of(engine.role);
    (!needed.0 || zone.prompt > own.prompt) && (!needed.1 || zone.output > own.output)
}
