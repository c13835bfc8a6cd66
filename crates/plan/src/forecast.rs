//! Forecast of the demand of one service.

/// Smoothing of the level over windows.
const LEVEL_SMOOTHING: f64 = 0.4;
/// Smoothing of the trend over windows.
const TREND_SMOOTHING: f64 = 0.2;

/// Tokens asked of a service in a window. Prompt tokens found in caches do not count.
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
    /// Prompt and output tokens a second.
    pub(crate) fn per_s(&self) -> (f64, f64) {
        let seconds = self.window_ms.max(1) as f64 / 1_000.0;
        (self.prompt_tokens / seconds, self.output_tokens / seconds)
    }
}

/// Level and trend of one rate, after Holt.
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

    /// Mean over the next `windows` windows. The trend is followed for one window only: it reverses in swings.
    fn mean_ahead(&self) -> f64 {
        (self.level + self.trend).max(0.0)
    }
}

/// Forecast of prompt and output tokens a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Forecast {
    prompt: Series,
    output: Series,
}

impl Forecast {
    pub(crate) fn observe(&mut self, demand: &Demand) {
        let (prompt_per_s, output_per_s) = demand.per_s();
        self.prompt.observe(prompt_per_s);
        self.output.observe(output_per_s);
    }

    pub(crate) fn per_s(&self) -> (f64, f64) {
        (self.prompt.mean_ahead(), self.output.mean_ahead())
    }
}
