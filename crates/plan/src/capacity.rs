//! The tokens that a set of engines can serve in given roles.

use conf::{Name, Role};

use crate::forecast::Sample;

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name of the upstream.
    pub name: Name,
    /// Availability zone.
    pub availability_zone: Name,
    /// Role in effect.
    pub role: Role,
    /// Whether it gets no new work, because it drains, leaves or does not answer.
    pub draining: bool,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated a second.
    pub decode_tokens_per_s: f64,
    /// Expected time to finish what it carries, in milliseconds.
    pub drain_ms: u64,
    /// Time that a role change takes it away, in milliseconds.
    pub switch_ms: u64,
    /// Tokens in its cache that would have to be computed again after the change.
    pub cached_tokens: f64,
    /// Whether it can hand its KV cache to another engine, so that these tokens are not lost.
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
            switch_ms: 3_000,
            cached_tokens: 0.0,
            exports_kv: false,
        }
    }
}

/// Speeds of a set of engines, by role.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    prefill: f64,
    decode: f64,
    mixed_prefill: f64,
    mixed_decode: f64,
}

impl Capacity {
    /// Capacity of the engines that take work.
    pub(crate) fn of(engines: &[Engine], mixed_efficiency: f64) -> Self {
        let mut capacity = Self::default();
        for engine in engines.iter().filter(|engine| !engine.draining) {
            capacity = capacity.plus(engine, engine.role, mixed_efficiency);
        }
        capacity
    }

    /// Capacity with one more engine in a role.
    pub(crate) fn plus(self, engine: &Engine, role: Role, mixed_efficiency: f64) -> Self {
        self.with(engine, role, mixed_efficiency, 1.0)
    }

    /// Capacity without one of its engines.
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

    /// Tokens a second that can be served, as a weighted mean over the samples.
    pub(crate) fn served_per_s(&self, samples: &[Sample]) -> f64 {
        let weight: f64 = samples.iter().map(|sample| sample.weight).sum();
        let served = samples.iter().map(|sample| {
            let asked_per_s = sample.prompt_per_s + sample.output_per_s;
            let share = self.served_share(sample.prompt_per_s, sample.output_per_s);
            sample.weight * share * asked_per_s
        });
        served.sum::<f64>() / weight.max(f64::MIN_POSITIVE)
    }

    /// Share of the demand that can be served, from 0 to 1. A request needs both of its parts.
    ///
    /// The mixed engines divide their time between what the others leave of the prompts and of the output. That bounds the
    /// share by the prompts alone, by the output alone and by both together.
    fn served_share(&self, prompt_per_s: f64, output_per_s: f64) -> f64 {
        let by_prompt = ratio(self.prefill + self.mixed_prefill, prompt_per_s);
        let by_output = ratio(self.decode + self.mixed_decode, output_per_s);
        let mut share = by_prompt.min(by_output).min(1.0);
        if self.mixed_prefill > 0.0 && self.mixed_decode > 0.0 {
            let time = 1.0 + self.prefill / self.mixed_prefill + self.decode / self.mixed_decode;
            let asked = prompt_per_s / self.mixed_prefill + output_per_s / self.mixed_decode;
            share = share.min(ratio(time, asked));
        }
        share
    }
}

/// `a / b`, or infinity if nothing is asked.
fn ratio(a: f64, b: f64) -> f64 {
    match b > 0.0 {
        true => a / b,
        false => f64::INFINITY,
    }
}
