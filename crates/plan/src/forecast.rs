//! Forecast of the demand of one service.

use std::collections::VecDeque;

/// Smoothing factor of the level, per window.
const LEVEL_SMOOTHING: f64 = 0.4;
/// Smoothing factor of the trend, per window.
const TREND_SMOOTHING: f64 = 0.2;

/// Number of recent windows kept without smoothing: 4 minutes at 5 s, since the mix of prompts and output changes
/// within minutes. A smoothed mean hides swings that are faster than its smoothing, and roles that fit the mean may
/// serve neither half of a swing.
const RECENT_WINDOWS: usize = 48;

/// Weight of the forecast window, relative to the sum of all recent windows. With a weight above 0.1 the planner
/// follows swings of 20 to 60 s.
const NEXT_WEIGHT: f64 = 0.1;

/// Tokens requested from a service in a window. Prompt tokens found in caches do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens to compute.
    pub prompt_tokens: f64,
    /// Output tokens to generate.
    pub output_tokens: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Demand {
    /// Returns the prompt tokens and the output tokens per second.
    pub(crate) fn per_s(&self) -> (f64, f64) {
        let seconds = self.window_ms.max(1) as f64 / 1_000.0;
        (self.prompt_tokens / seconds, self.output_tokens / seconds)
    }
}

/// Level and trend of one rate, by Holt's linear exponential smoothing.
#[derive(Clone, Copy, Debug, Default)]
struct Series {
    level: f64,
    trend: f64,
    windows: u32,
}

impl Series {
    fn observe(&mut self, value: f64) {
        self.windows += 1;
        if self.windows == 1 {
            self.level = value;
            return;
        }
        let expected = self.level + self.trend;
        let level = expected + LEVEL_SMOOTHING * (value - expected);
        self.trend += TREND_SMOOTHING * (level - self.level - self.trend);
        self.level = level;
    }

    /// Returns the forecast for the next window. The trend is not extrapolated further, because it reverses in a swing.
    fn next(&self) -> f64 {
        (self.level + self.trend).max(0.0)
    }
}

/// A possible demand in prompt and output tokens per second, with a weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) weight: f64,
    pub(crate) prompt_per_s: f64,
    pub(crate) output_per_s: f64,
}

impl Sample {
    pub(crate) fn of(demand: &Demand) -> Self {
        let (prompt_per_s, output_per_s) = demand.per_s();
        Self {
            weight: 1.0,
            prompt_per_s,
            output_per_s,
        }
    }
}

/// Forecast of prompt and output tokens per second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forecast {
    prompt: Series,
    output: Series,
    recent: VecDeque<Sample>,
}

impl Forecast {
    pub(crate) fn observe(&mut self, demand: &Demand) {
        let sample = Sample::of(demand);
        self.prompt.observe(sample.prompt_per_s);
        self.output.observe(sample.output_per_s);
        self.recent.push_back(sample);
        if self.recent.len() > RECENT_WINDOWS {
            self.recent.pop_front();
        }
    }

    /// Returns the recent windows and the forecast for the next window.
    pub(crate) fn samples(&self) -> Vec<Sample> {
        let next = Sample {
            weight: self.recent.len() as f64 * NEXT_WEIGHT,
            prompt_per_s: self.prompt.next(),
            output_per_s: self.output.next(),
        };
        let mut samples: Vec<Sample> = self.recent.iter().copied().collect();
        samples.push(next);
        samples
    }
}
