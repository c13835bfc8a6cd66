//! The role planner.

use conf::{Map, Name, Role, Set};

use crate::capacity::{Capacity, Engine};
use crate::forecast::{Demand, Forecast, Sample};

/// Demand below which a role is not needed, in tokens a second.
const NEEDED_TOKENS_PER_S: f64 = 1.0;
/// Smallest gain that counts, as a share of the tokens served.
const GAIN_MIN: f64 = 0.000_1;
/// Advantage in tokens that a change to a dedicated role must have over one to a mixed role, relative to the latter.
const MIXED_PREFERENCE: f64 = 1.1;

/// How roles are planned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Mode {
    /// By forecast gain and cost, with hysteresis.
    #[default]
    Hysteresis,
    /// By the gain at the demand of the last window alone: a baseline.
    NoHysteresis,
    /// Never: a baseline.
    Static,
}

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerConfig {
    /// How roles are planned.
    pub mode: Mode,
    /// Share of its speeds that a mixed engine keeps: prompts delay the answers that run beside them.
    pub mixed_efficiency: f64,
    /// Time over which a gain is counted, in milliseconds.
    pub horizon_ms: u64,
    /// Factor by which the gain must exceed the tokens lost.
    pub gain_factor: f64,
    /// Windows in a row in which the same change must pay off.
    pub confirmations: u32,
    /// Shortest time between two changes of a service, in milliseconds.
    pub cooldown_ms: u64,
    /// Time after which a change that does not show counts as failed, in milliseconds.
    pub change_timeout_ms: u64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            mode: Mode::Hysteresis,
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
    /// The engine.
    pub upstream: Name,
    /// Its role now.
    pub from: Role,
    /// The role to take.
    pub to: Role,
    /// Tokens served more over the horizon, by forecast.
    pub gain_tokens: f64,
    /// Tokens lost by draining and switching.
    pub lost_tokens: f64,
    /// Whether its KV cache is to be exported before the change.
    pub export_kv: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    upstream: Name,
    to: Role,
    deadline_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    forecast: Forecast,
    pending: Option<Pending>,
    next_change_ms: u64,
    /// The change that paid off in the last windows, and in how many.
    candidate: Option<(Role, Role, u32)>,
    /// Since when a change from one role to another would have been a gain in every window.
    gaining_since_ms: Map<(Role, Role), u64>,
}

/// Plans the roles of all services. Each service is planned on its own.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    config: PlannerConfig,
    services: Map<Name, ServiceState>,
}

impl Planner {
    /// Makes a planner that knows no service yet.
    pub fn new(config: PlannerConfig) -> Self {
        Self {
            config,
            services: Map::default(),
        }
    }

    /// Takes in the demand of a window and returns a change if one pays off.
    ///
    /// While a change of the service has not shown in `engines`, no other is returned.
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
        state.settle(now_ms, engines);
        if config.mode == Mode::Static || state.pending.is_some() {
            return None;
        }
        let samples = match config.mode {
            Mode::NoHysteresis => vec![Sample::of(demand)],
            _ => state.forecast.samples(),
        };
        let assessments = assess_all(config, &samples, engines);
        state.note_gains(now_ms, &assessments);
        let paying = assessments
            .into_iter()
            .filter_map(|assessment| {
                let horizon_ms = state.horizon_ms(now_ms, config, &assessment);
                assessment.into_change(config, horizon_ms)
            })
            .collect();
        let change = best(paying);
        let change = match config.mode {
            Mode::NoHysteresis => change?,
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

    /// Notes that a change was refused or given up, so that another may be planned.
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
    /// Ends the pending change if the engine has the role, is gone, or took too long.
    fn settle(&mut self, now_ms: u64, engines: &[Engine]) {
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

    fn note_gains(&mut self, now_ms: u64, assessments: &[Assessment]) {
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

    /// Time over which a gain is counted: what has been a gain for longer than the horizon is taken to last as long again.
    /// Otherwise a small lasting gain would never outweigh the loss.
    fn horizon_ms(&self, now_ms: u64, config: &PlannerConfig, assessment: &Assessment) -> f64 {
        let change = (assessment.change.from, assessment.change.to);
        let since_ms = self.gaining_since_ms.get(&change).copied();
        let lasted_ms = since_ms.map_or(0, |since_ms| now_ms - since_ms);
        lasted_ms.max(config.horizon_ms) as f64
    }

    /// Lets a change pass once it has paid off in enough windows in a row and the last change is long enough ago.
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
        let seen = match self.candidate {
            Some((from, to, seen)) if (from, to) == (change.from, change.to) => seen + 1,
            _ => 1,
        };
        self.candidate = Some((change.from, change.to, seen));
        let ready = seen >= config.confirmations && now_ms >= self.next_change_ms;
        ready.then_some(change)
    }
}

/// What a change of one engine to one role would bring.
#[derive(Clone, Debug)]
struct Assessment {
    change: RoleChange,
    gain_per_s: f64,
    away_ms: f64,
}

impl Assessment {
    /// The change, if it pays off over the horizon.
    fn into_change(mut self, config: &PlannerConfig, horizon_ms: f64) -> Option<RoleChange> {
        let change = &mut self.change;
        change.gain_tokens = self.gain_per_s * (horizon_ms - self.away_ms).max(0.0) / 1_000.0;
        let pays_off = match config.mode {
            Mode::NoHysteresis => self.gain_per_s > 0.0,
            _ => change.gain_tokens > change.lost_tokens * config.gain_factor,
        };
        (pays_off && self.gain_per_s > 0.0).then_some(self.change)
    }
}

/// The change with the largest gain above its loss. A change to a mixed role is preferred, and the first of equals.
fn best(changes: Vec<RoleChange>) -> Option<RoleChange> {
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

/// Tokens served a second before, while and after an engine changes from one role to another.
#[derive(Clone, Copy, Debug)]
struct Served {
    before: f64,
    during: f64,
    after: f64,
}

/// An engine's part in what is served: its roles before and after, and its speeds.
type Part = (Role, Role, u64, u64);

fn assess_all(config: &PlannerConfig, samples: &[Sample], engines: &[Engine]) -> Vec<Assessment> {
    let capacity = Capacity::of(engines, config.mixed_efficiency);
    let before = capacity.served_per_s(samples);
    let covered = covered_by_zone(engines);
    let needed = needed_roles(samples);
    // Most engines of a fleet are alike, and what is served does not depend on which of them changes.
    let mut known: Map<Part, Served> = Map::default();
    let mut assessments = Vec::new();
    for engine in engines {
        if engine.draining || !keeps_roles(engine, &covered, needed) {
            continue;
        }
        for to in [Role::Mixed, Role::Prefill, Role::Decode] {
            if engine.role == to {
                continue;
            }
            let speeds = (engine.prefill_tokens_per_s, engine.decode_tokens_per_s);
            let part = (engine.role, to, speeds.0.to_bits(), speeds.1.to_bits());
            let served = *known.entry(part).or_insert_with(|| {
                let away = capacity.minus(engine, config.mixed_efficiency);
                let changed = away.plus(engine, to, config.mixed_efficiency);
                Served {
                    before,
                    during: away.served_per_s(samples),
                    after: changed.served_per_s(samples),
                }
            });
            assessments.push(assess(engine, to, served));
        }
    }
    assessments
}

fn assess(engine: &Engine, to: Role, served: Served) -> Assessment {
    let away_ms = (engine.drain_ms + engine.switch_ms) as f64;
    let cached_tokens = match engine.exports_kv {
        true => 0.0,
        false => engine.cached_tokens,
    };
    let away_tokens = (served.before - served.during).max(0.0) * away_ms / 1_000.0;
    let gain_per_s = served.after - served.before;
    // Differences by rounding are no gain.
    let is_gain = gain_per_s > served.before * GAIN_MIN;
    Assessment {
        change: RoleChange {
            upstream: engine.name.clone(),
            from: engine.role,
            to,
            gain_tokens: 0.0,
            lost_tokens: away_tokens + cached_tokens,
            export_kv: engine.exports_kv && engine.cached_tokens > 0.0,
        },
        gain_per_s: if is_gain { gain_per_s } else { 0.0 },
        away_ms,
    }
}

/// Engines of a zone that take prompts and that generate output. A mixed engine does both.
#[derive(Clone, Copy, Debug, Default)]
struct Covered {
    prompt: u32,
    output: u32,
}

impl Covered {
    fn of(role: Role) -> Self {
        Self {
            prompt: u32::from(role != Role::Decode),
            output: u32::from(role != Role::Prefill),
        }
    }
}

fn covered_by_zone(engines: &[Engine]) -> Map<Name, Covered> {
    let mut zones: Map<Name, Covered> = Map::default();
    for engine in engines.iter().filter(|engine| !engine.draining) {
        let zone = zones.entry(engine.availability_zone.clone()).or_default();
        let own = Covered::of(engine.role);
        zone.prompt += own.prompt;
        zone.output += own.output;
    }
    zones
}

/// Whether there is a demand for prompts and for output.
fn needed_roles(samples: &[Sample]) -> (bool, bool) {
    let any = |rate: fn(&Sample) -> f64| {
        samples
            .iter()
            .map(rate)
            .any(|rate| rate >= NEEDED_TOKENS_PER_S)
    };
    (
        any(|sample| sample.prompt_per_s),
        any(|sample| sample.output_per_s),
    )
}

/// Whether the zone of an engine keeps an engine for each needed role while this one is away.
fn keeps_roles(engine: &Engine, covered: &Map<Name, Covered>, needed: (bool, bool)) -> bool {
    let zone = covered.get(&engine.availability_zone).copied();
    let zone = zone.unwrap_or_default();
    let own = Covered::of(engine.role);
    (!needed.0 || zone.prompt > own.prompt) && (!needed.1 || zone.output > own.output)
}
