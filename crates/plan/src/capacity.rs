//! The tokens that a set of engines can process in given roles.

use conf::{Name, Role};

use crate::forecast::Sample;

/// The state of an engine that the planner uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name of the engine.
    pub name: Name,
    /// Availability zone.
    pub availability_zone: Name,
    /// Role in effect.
    pub role: Role,
    /// Whether the engine gets no new requests, because it drains, leaves or does not answer.
    pub draining: bool,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated per second.
    pub decode_tokens_per_s: f64,
    /// Expected time until the open requests of the engine end, in milliseconds.
    pub drain_ms: u64,
    /// Time for which a role change makes the engine unavailable after the drain, in milliseconds.
    pub role_change_ms: u64,
    /// Tokens in the KV cache that would have to be computed again after a role change.
    pub cached_tokens: f64,
    /// Whether the engine can export its KV cache to another engine, so that the cached tokens are not lost.
    pub exports_kv: bool,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            name: Name::default(),
            availability_zone: Name::default(),
            role: Role::Mixed,
            draining: false,
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 1_000.0,
            drain_ms: 5_000,
            role_change_ms: 3_000,
            cached_tokens: 0.0,
            exports_kv: false,
        }
    }
}

/// Total speed of a set of engines by role, in tokens per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    prefill: f64,
    decode: f64,
    mixed_prefill: f64,
    mixed_decode: f64,
}

impl Capacity {
    /// Returns the capacity of the engines that are not draining.
    pub(crate) fn of(engines: &[Engine], mixed_efficiency: f64) -> Self {
        let mut capacity = Self::default();
        for engine in engines.iter().filter(|engine| !engine.draining) {
            capacity = capacity.plus(engine, engine.role, mixed_efficiency);
        }
        capacity
    }

    /// Returns the capacity with one more engine in a role.
    pub(crate) fn plus(self, engine: &Engine, role: Role, mixed_efficiency: f64) -> Self {
        self.with(engine, role, mixed_efficiency, 1.0)
    }

    /// Returns the capacity without one of the engines.
    pub(crate) fn minus(self, engine: &Engine, mixed_efficiency: f64) -> Self {
        self.with(engine, engine.role, mixed_efficiency, -1.0)
    }

    fn with(mut self, engine: &Engine, role: Role, mixed_efficiency: f64, sign: f64) -> Self {
        let prefill = sign * engine.prefill_tokens_per_s;
        let decode = sign * engine.decode_tokens_per_s;
        // A speed below 0 can only come from rounding.
        let add = |speed: &mut f64, by: f64| *speed = (*speed + by).max(0.0);
        match role {
            Role::Prefill => add(&mut self.prefill, prefill),
            Role::Decode => add(&mut self.decode, decode),
            Role::Mixed => {
                add(&mut self.mixed_prefill, prefill * mixed_efficiency);
                add(&mut self.mixed_decode, decode * mixed_efficiency);
            }
        }
        self
    }

    /// Returns the tokens that can be served per second, as a weighted mean over the samples.
    pub(crate) fn served_per_s(&self, samples: &[Sample]) -> f64 {
        let weight: f64 = samples.iter().map(|sample| sample.weight).sum();
        let served = samples.iter().map(|sample| {
            let demand_per_s = sample.prompt_per_s + sample.output_per_s;
            let share = self.served_share(sample.prompt_per_s, sample.output_per_s);
            sample.weight * share * demand_per_s
        });
        served.sum::<f64>() / weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of the demand that can be served, from 0 to 1. A request needs both its prompt and its output.
    ///
    /// The mixed engines divide their time between the prompts and the output that the dedicated engines cannot serve.
    /// That bounds the share by the prompts alone, by the output alone and by both together.
    fn served_share(&self, prompt_per_s: f64, output_per_s: f64) -> f64 {
        let by_prompt = ratio(self.prefill + self.mixed_prefill, prompt_per_s);
        let by_output = ratio(self.decode + self.mixed_decode, output_per_s);
        let mut share = by_prompt.min(by_output).min(1.0);
        if self.mixed_prefill > 0.0 && self.mixed_decode > 0.0 {
            let available_time =
                1.0 + self.prefill / self.mixed_prefill + self.decode / self.mixed_decode;
            let needed_time = prompt_per_s / self.mixed_prefill + output_per_s / self.mixed_decode;
            share = share.min(ratio(available_time, needed_time));
        }
        share
    }
}

/// Returns `a / b`, or infinity if `b` is not positive.
fn ratio(a: f64, b: f64) -> f64 {
    match b > 0.0 {
        true => a / b,
        false => f64::INFINITY,
    }
}
