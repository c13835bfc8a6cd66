//! How fast an upstream works, from what it states and from measured durations.
//!
//! Factors are multiples of the usual duration: 2 means that the same work takes twice as long as the first guess.

use fleet::SpeedReport;

use crate::exchange::{Prompt, Task};
use crate::place;
use crate::upstream::Upstream;

/// Half-life of a stated slowness, in milliseconds. Other work on the upstream's machine comes and goes several times a
/// second.
const STATED_HALF_LIFE_MS: f64 = 300.0;
/// Half-life of the average of stated slownesses without a new one, in milliseconds.
const STATED_AVERAGE_HALF_LIFE_MS: f64 = 5_000.0;
/// Weight of the latest stated slowness in the average, as logarithms.
const STATED_AVERAGE_WEIGHT: f64 = 0.15;
/// Half-life of a measured factor without a new measurement, in milliseconds. A slow upstream that gets no work counts
/// as usual again after a few half-lives, and the work that it then gets shows whether it has recovered.
const MEASURED_HALF_LIFE_MS: f64 = 15_000.0;
/// Weight of a measurement above the measured factor, as logarithms. It is lower than the weight of one below, since a
/// call also takes longer if other entries have sent work that this one does not know of.
const SLOWER_WEIGHT: f64 = 0.06;
/// Weight of a measurement below the measured factor, as logarithms.
const FASTER_WEIGHT: f64 = 0.3;
/// Largest difference of a measurement from the measured factor that counts, as logarithms: one outlier changes the
/// factor by a fifth.
const MAX_DIFFERENCE: f64 = 1.2;
/// Smallest and largest factor.
const FACTOR_RANGE: (f64, f64) = (0.3, 8.0);
/// Smallest and largest slowness that an upstream may state, in percent.
const STATED_RANGE: (u16, u16) = (10, 5_000);
/// Prompt tokens from which the duration of a call shows the speed of an engine.
const MIN_MEASURED_TOKENS: u32 = 400;
/// Part of a call's prompt tokens up to which tokens that are computed before them leave its duration telling: an entry
/// learns late of what others have sent, and of what is done.
const MAX_AHEAD_DIVISOR: u32 = 4;
/// Duration of a call besides the work, in milliseconds: the network, a new connection and the engine's setup.
const CALL_MS: f64 = 4.0;
/// Age from which a stated slowness says nothing, in milliseconds.
const MAX_STATED_AGE_MS: u64 = 2_000;

/// A factor that tends to 1 without new values.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Natural logarithm of the factor at `updated_ms`.
    log: f64,
    updated_ms: u64,
}

impl Estimate {
    fn log(&self, now_ms: u64, half_life_ms: f64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms);
        self.log * 0.5_f64.powf(age_ms as f64 / half_life_ms)
    }

    /// Adds a value with one weight above the estimate and another one below.
    fn add(&mut self, now_ms: u64, value: f64, weights: (f64, f64), half_life_ms: f64) {
        let log = self.log(now_ms, half_life_ms);
        let difference = (value.max(1e-3).ln() - log).clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE);
        let weight = if difference > 0.0 {
            weights.0
        } else {
            weights.1
        };
        self.log = log + weight * difference;
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}

/// The work whose duration has been measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The computation of a prompt, or a plain request.
    Prompt,
    /// The generation of the first output tokens.
    Output,
}

/// What a call takes at the usual speed of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    /// Work that determines the duration.
    pub work: Work,
    /// Duration until the answer to a prefill call, the first event of a stream, or the whole answer of a plain
    /// request, in milliseconds.
    pub usual_ms: f64,
}

impl Expected {
    /// Returns what a call takes, where `tokens` of the prompt are computed, or none if the duration would say little
    /// about the speed: because most of the work belongs to other requests, or because the engine may have cached a
    /// prefix that it is not known to have.
    pub fn of(
        upstream: &Upstream,
        task: &Task,
        prompt: Option<&Prompt>,
        tokens: u32,
    ) -> Option<Self> {
        if !upstream.speed.is_in_use() {
            return None;
        }
        let Some(prompt) = prompt else {
            return Some(Self {
                work: Work::Prompt,
                usual_ms: place::PLAIN_REQUEST_MS,
            });
        };
        if matches!(task, Task::Generate { .. }) {
            return Some(Self {
                work: Work::Output,
                usual_ms: place::FIRST_EVENT_MS + place::transfer_ms(prompt.tokens),
            });
        }
        let shared_tokens = prompt.shared_prefix().map_or(0, |(_, tokens)| tokens);
        let ahead = upstream.tokens_ahead();
        let may_have_cached = tokens + shared_tokens > prompt.tokens && shared_tokens > tokens / 2;
        if ahead > tokens / MAX_AHEAD_DIVISOR || tokens < MIN_MEASURED_TOKENS || may_have_cached {
            return None;
        }
        let first_event_ms = match task {
            Task::Prefill => 0.0,
            Task::Run | Task::Generate { .. } => place::FIRST_EVENT_MS,
        };
        let prompt_ms = f64::from(ahead + tokens) / place::usual_prefill_tokens_per_ms(upstream);
        Some(Self {
            work: Work::Prompt,
            usual_ms: prompt_ms + first_event_ms + CALL_MS,
        })
    }
}

/// The speed of one upstream. The upstreams of a service count as usual, whatever is measured, unless some of them state
/// their slowness. Others, such as engines that only compute prompts, may state none.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    is_in_use: bool,
    /// Latest stated slowness, as the natural logarithm of the factor, and when it held.
    latest: Estimate,
    average: Estimate,
    prompt: Estimate,
    output: Estimate,
    /// Observations of this entry that it has not reported to the others.
    unreported: Option<Observation>,
}

/// Observations since the latest report; 0 percent where there are none.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    stated_percent: u16,
    stated_ms: u64,
    prompt_percent: u16,
    output_percent: u16,
}

impl Speed {
    /// Returns whether the speed counts.
    pub fn is_in_use(&self) -> bool {
        self.is_in_use
    }

    /// Makes the speed count, since upstreams of the service state their slowness.
    pub fn put_in_use(&mut self) {
        self.is_in_use = true;
    }

    /// Returns the factor on the duration of prompts and plain requests.
    pub fn prompt_factor(&self, now_ms: u64) -> f64 {
        self.factor(now_ms, &self.prompt)
    }

    /// Returns the factor on the duration of output tokens.
    pub fn output_factor(&self, now_ms: u64) -> f64 {
        self.factor(now_ms, &self.output)
    }

    fn factor(&self, now_ms: u64, measured: &Estimate) -> f64 {
        if !self.is_in_use {
            return 1.0;
        }
        let log = self.stated_log(now_ms) + measured.log(now_ms, MEASURED_HALF_LIFE_MS);
        log.exp().clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }

    /// Returns the factor that stated slownesses lead to expect.
    pub fn stated_factor(&self, now_ms: u64) -> f64 {
        self.stated_log(now_ms).exp()
    }

    /// Returns the logarithm of the slowness that is expected now: the latest one if it is recent, and otherwise the
    /// average.
    fn stated_log(&self, now_ms: u64) -> f64 {
        let average = self.average.log(now_ms, STATED_AVERAGE_HALF_LIFE_MS);
        let age_ms = now_ms.saturating_sub(self.latest.updated_ms);
        let weight = 0.5_f64.powf(age_ms as f64 / STATED_HALF_LIFE_MS);
        average + (self.latest.log - average) * weight
    }

    /// Records the slowness that an answer states, in percent of the usual duration.
    pub fn on_stated(&mut self, now_ms: u64, percent: u16) {
        if !(STATED_RANGE.0..=STATED_RANGE.1).contains(&percent) {
            return;
        }
        self.apply_stated(now_ms, percent);
        let observation = self.unreported.get_or_insert_default();
        (observation.stated_percent, observation.stated_ms) = (percent, now_ms);
    }

    fn apply_stated(&mut self, stated_ms: u64, percent: u16) {
        self.is_in_use = true;
        let factor = f64::from(percent) / 100.0;
        let weights = (STATED_AVERAGE_WEIGHT, STATED_AVERAGE_WEIGHT);
        self.average
            .add(stated_ms, factor, weights, STATED_AVERAGE_HALF_LIFE_MS);
        if stated_ms >= self.latest.updated_ms {
            self.latest = Estimate {
                log: factor.ln(),
                updated_ms: stated_ms,
            };
        }
    }

    /// Records a measured duration. `usual_ms` is the duration at the usual speed. The part that the stated slowness
    /// explains does not count as measured.
    pub fn on_measured(&mut self, now_ms: u64, work: Work, duration_ms: f64, usual_ms: f64) {
        if !self.is_in_use || usual_ms <= 0.0 {
            return;
        }
        let factor = duration_ms / usual_ms / self.stated_log(now_ms).exp();
        self.apply_measured(now_ms, work, factor);
        let percent = (factor * 100.0).clamp(1.0, f64::from(u16::MAX)) as u16;
        let observation = self.unreported.get_or_insert_default();
        match work {
            Work::Prompt => observation.prompt_percent = percent,
            Work::Output => observation.output_percent = percent,
        }
    }

    fn apply_measured(&mut self, now_ms: u64, work: Work, factor: f64) {
        let estimate = match work {
            Work::Prompt => &mut self.prompt,
            Work::Output => &mut self.output,
        };
        let weights = (SLOWER_WEIGHT, FASTER_WEIGHT);
        estimate.add(now_ms, factor, weights, MEASURED_HALF_LIFE_MS);
    }

    /// Returns what the other entries do not know of this entry's observations, and counts it as reported.
    pub fn take_report(&mut self, now_ms: u64, upstream_key: u64) -> Option<SpeedReport> {
        let observation = self.unreported.take()?;
        let age_ms = match observation.stated_percent {
            0 => 0,
            _ => now_ms.saturating_sub(observation.stated_ms),
        };
        Some(SpeedReport {
            upstream_key,
            stated_percent: observation.stated_percent,
            age_ms: u16::try_from(age_ms).unwrap_or(u16::MAX),
            prompt_percent: observation.prompt_percent,
            output_percent: observation.output_percent,
        })
    }

    /// Records what another entry has observed.
    pub fn on_report(&mut self, now_ms: u64, report: &SpeedReport) {
        let age_ms = u64::from(report.age_ms);
        let in_range = (STATED_RANGE.0..=STATED_RANGE.1).contains(&report.stated_percent);
        if in_range && age_ms <= MAX_STATED_AGE_MS {
            self.apply_stated(now_ms.saturating_sub(age_ms), report.stated_percent);
        }
        for (work, percent) in [
            (Work::Prompt, report.prompt_percent),
            (Work::Output, report.output_percent),
        ] {
            if percent > 0 {
                self.apply_measured(now_ms, work, f64::from(percent) / 100.0);
            }
        }
    }
}
