//! A fluid model of a service whose mix of prompt and output tokens swings, with engines that change roles.
#![allow(dead_code, reason = "each example and test uses a part")]

use conf::Role;
use plan::{Demand, Engine, Planner, PlannerConfig, PlannerMode};

/// Window of the planner, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// How the mix of prompt and output tokens changes over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mix {
    /// The mix alternates between prompt-heavy and output-heavy, each for half a period.
    Swing { period_ms: u64 },
    /// The mix changes once from output-heavy to prompt-heavy, after a quarter of the run.
    Shift,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub changes: u32,
    pub demand_tokens: f64,
    pub served_tokens: f64,
}

impl Outcome {
    pub fn served_share(&self) -> f64 {
        self.served_tokens / self.demand_tokens
    }
}

/// Returns twelve engines in three zones. Each zone has one prefill engine, two decode engines and one mixed engine.
pub fn fleet() -> Vec<Engine> {
    let engine = |index: usize| Engine {
        name: format!("e{index}").into(),
        availability_zone: format!("z{}", index % 3).into(),
        role: [Role::Prefill, Role::Decode, Role::Decode, Role::Mixed][index / 3],
        cached_tokens: 60_000.0,
        ..Engine::default()
    };
    (0..12).map(engine).collect()
}

/// Returns the demand at a time, in prompt and output tokens per second.
fn demand(mix: Mix, now_ms: u64, length_ms: u64, rng: &mut fastrand::Rng) -> (f64, f64) {
    let prompt_heavy = match mix {
        Mix::Swing { period_ms } => now_ms % period_ms < period_ms / 2,
        Mix::Shift => now_ms >= length_ms / 4,
    };
    let (prompt, output) = match prompt_heavy {
        true => (130_000.0, 3_500.0),
        false => (40_000.0, 8_000.0),
    };
    let mut noise = || 0.85 + 0.3 * rng.f64();
    (prompt * noise(), output * noise())
}

/// Returns the share of the demand that the engines serve, computed from their roles alone.
fn served_share(engines: &[Engine], prompt: f64, output: f64, mixed_efficiency: f64) -> f64 {
    let working = || engines.iter().filter(|engine| !engine.draining);
    let count = |role| working().filter(|engine| engine.role == role).count() as f64;
    let (prefill, decode, mixed) = (
        count(Role::Prefill),
        count(Role::Decode),
        count(Role::Mixed),
    );
    let fits = |share: f64| {
        let prompt_engines = (share * prompt / 20_000.0 - prefill).max(0.0);
        let output_engines = (share * output / 1_000.0 - decode).max(0.0);
        prompt_engines + output_engines <= mixed * mixed_efficiency
    };
    (0..=200)
        .rev()
        .map(|step| f64::from(step) / 200.0)
        .find(|share| fits(*share))
        .unwrap_or(0.0)
}

/// Runs the planner on the model. An engine that changes its role drains, is unavailable, and starts with an empty
/// cache.
///
/// `mixed_efficiency` is the share of its speeds that a mixed engine reaches, in the model and in the planner.
pub fn run(
    mode: PlannerMode,
    mix: Mix,
    mixed_efficiency: f64,
    seed: u64,
    length_ms: u64,
) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut engines = fleet();
    let mut planner = Planner::new(PlannerConfig {
        mode,
        mixed_efficiency,
        ..PlannerConfig::default()
    });
    let mut outcome = Outcome::default();
    let mut changing: Option<(usize, Role, u64)> = None;
    for now_ms in (0..length_ms).step_by(WINDOW_MS as usize) {
        if let Some((index, role, done_ms)) = changing
            && now_ms >= done_ms
        {
            engines[index].role = role;
            engines[index].draining = false;
            changing = None;
        }
        let (prompt, output) = demand(mix, now_ms, length_ms, &mut rng);
        let seconds = WINDOW_MS as f64 / 1_000.0;
        let share = served_share(&engines, prompt, output, mixed_efficiency);
        outcome.demand_tokens += (prompt + output) * seconds;
        outcome.served_tokens += (prompt + output) * seconds * share;
        let demand = Demand {
            prompt_tokens: prompt * seconds,
            output_tokens: output * seconds,
            window_ms: WINDOW_MS,
        };
        if let Some(change) = planner.plan(now_ms, &"chat".into(), &demand, &engines) {
            let index = engines
                .iter()
                .position(|engine| engine.name == change.upstream);
            let index = index.expect("the planner names a known engine");
            let engine = &mut engines[index];
            outcome.changes += 1;
            outcome.served_tokens -= engine.cached_tokens;
            engine.draining = true;
            changing = Some((
                index,
                change.to,
                now_ms + engine.drain_ms + engine.role_change_ms,
            ));
        }
    }
    outcome
}
