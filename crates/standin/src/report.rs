//! Measures of a load run and the table that shows them.

use std::{collections::BTreeMap, fmt};

use conf::Name;
use hdrhistogram::Histogram;

use crate::{
    arrivals,
    client::{Ending, Exchange},
    load::{LoadSettings, RankLoad},
};

/// Longest time that a histogram holds, in simulated microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// One request and what came of it, in simulated time.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Index of the rank.
    pub rank: usize,
    /// Whether the whole right answer came.
    pub is_whole: bool,
    /// Why it did not come.
    pub failure: Option<Name>,
    /// From the arrival to the first token.
    pub first_token_ms: Option<f64>,
    /// From the arrival to the end.
    pub total_ms: f64,
    /// When each token came after the start of the run.
    pub token_times_ms: Vec<f64>,
    /// How late the generator sent the request.
    pub late_ms: f64,
}

impl Outcome {
    fn between_tokens_ms(&self) -> impl Iterator<Item = f64> + '_ {
        self.token_times_ms.windows(2).map(|pair| pair[1] - pair[0])
    }

    fn mean_between_tokens_ms(&self) -> f64 {
        let gaps = self.token_times_ms.len().saturating_sub(1);
        self.between_tokens_ms().sum::<f64>() / gaps.max(1) as f64
    }

    /// Whether the answer is whole, its first token and its end came in time, and the mean time
    /// between its tokens is within the target.
    fn is_in_target(&self, rank: &RankLoad) -> bool {
        let first_token_ms = self.first_token_ms.unwrap_or(f64::INFINITY);
        self.is_whole
            && first_token_ms <= rank.target_first_token_ms
            && self.mean_between_tokens_ms() <= rank.target_between_tokens_ms
            && self.total_ms <= rank.target_total_ms
    }
}

/// Why an exchange brought no whole answer.
pub fn failure(exchange: &Exchange) -> Name {
    let status = exchange.status.map_or(0, |status| status.as_u16());
    match exchange.ending {
        Ending::NotConnected => Name::from_static_str("not connected"),
        Ending::NoResponse => Name::from_static_str("no response"),
        Ending::TimedOut => Name::from_static_str("timed out"),
        Ending::Cut => Name::from_static_str("cut"),
        Ending::Whole if status == 200 => Name::from_static_str("wrong text"),
        Ending::Whole => refusal(status, exchange),
    }
}

fn refusal(status: u16, exchange: &Exchange) -> Name {
    let json = exchange.json();
    let reason = match &json["error"]["code"] {
        serde_json::Value::String(code) => code.clone(),
        _ => json["error"]["message"].as_str().unwrap_or("").to_owned(),
    };
    let run = exchange.run().unwrap_or_else(|| "no run field".to_owned());
    Name::from(format!("{status} {reason} ({run})"))
}

/// Percentiles of a time, in simulated milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl Percentiles {
    fn of(times_ms: impl Iterator<Item = f64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, DIGITS) else {
            return Self::default();
        };
        for time_ms in times_ms {
            histogram.saturating_record((time_ms.max(0.0) * 1_000.0) as u64);
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
        }
    }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.0}/{:.0}/{:.0}",
            self.p50_ms, self.p95_ms, self.p99_ms
        )
    }
}

/// Measures of one rank, or of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankReport {
    /// Name of the rank.
    pub name: Name,
    /// Requests that arrived.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within target.
    pub in_target: u64,
    /// Whole answers within target a second.
    pub goodput_per_s: f64,
    /// The same, each weighted by the worth of its rank.
    pub worth_per_s: f64,
    /// From the arrival to the first token.
    pub first_token: Percentiles,
    /// Between tokens.
    pub between_tokens: Percentiles,
    /// Share of the output tokens that came during the flood, or at any time without one.
    pub token_share: f64,
    /// Requests without a whole answer, by reason.
    pub failures: BTreeMap<Name, u64>,
}

/// Result of a load run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Name of the workload.
    pub workload: Name,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Measures by rank, most urgent first.
    pub ranks: Vec<RankReport>,
    /// Measures of all requests.
    pub total: RankReport,
    /// Latest sending of a request after its arrival. A late generator offers less than it says.
    pub late_max_ms: f64,
}

impl LoadReport {
    /// Measures the outcomes of a run.
    pub fn new(settings: &LoadSettings, outcomes: &[Outcome]) -> Self {
        let all: Vec<&Outcome> = outcomes.iter().collect();
        let tokens = window_tokens(settings, &all);
        let total = measure(settings, "all", &all, tokens);
        let ranks: Vec<RankReport> = settings
            .ranks
            .iter()
            .enumerate()
            .map(|(index, rank)| {
                let of_rank: Vec<&Outcome> = outcomes.iter().filter(|o| o.rank == index).collect();
                measure(settings, &rank.name, &of_rank, tokens)
            })
            .collect();
        Self {
            workload: Name::from_static_str(settings.workload.name()),
            seed: settings.seed,
            ranks,
            total,
            late_max_ms: outcomes.iter().map(|o| o.late_ms).fold(0.0, f64::max),
        }
    }
}

fn measure(settings: &LoadSettings, name: &str, outcomes: &[&Outcome], tokens: u64) -> RankReport {
    let in_target = |outcome: &&&Outcome| outcome.is_in_target(&settings.ranks[outcome.rank]);
    let good: Vec<&&Outcome> = outcomes.iter().filter(in_target).collect();
    // An empty sum of floats is negative zero.
    let worth = 0.0
        + good
            .iter()
            .map(|o| settings.ranks[o.rank].worth)
            .sum::<f64>();
    let duration_s = settings.duration_ms / 1_000.0;
    let mut failures = BTreeMap::new();
    for failure in outcomes.iter().filter_map(|o| o.failure.clone()) {
        *failures.entry(failure).or_default() += 1;
    }
    RankReport {
        name: Name::from(name.to_owned()),
        offered: outcomes.len() as u64,
        whole: outcomes.iter().filter(|o| o.is_whole).count() as u64,
        in_target: good.len() as u64,
        goodput_per_s: good.len() as f64 / duration_s,
        worth_per_s: worth / duration_s,
        first_token: Percentiles::of(outcomes.iter().filter_map(|o| o.first_token_ms)),
        between_tokens: Percentiles::of(outcomes.iter().flat_map(|o| o.between_tokens_ms())),
        token_share: window_tokens(settings, outcomes) as f64 / tokens.max(1) as f64,
        failures,
    }
}

fn window_tokens(settings: &LoadSettings, outcomes: &[&Outcome]) -> u64 {
    let (start_ms, end_ms) = arrivals::window_ms(settings);
    let times = outcomes.iter().flat_map(|o| &o.token_times_ms);
    let inside = times.filter(|time_ms| (start_ms..end_ms).contains(*time_ms));
    inside.count() as u64
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "workload {}, seed {}, sent at most {:.0} ms late; times as p50/p95/p99 in ms",
            self.workload, self.seed, self.late_max_ms
        )?;
        writeln!(
            f,
            "{:<10} {:>8} {:>8} {:>9} {:>9} {:>9} {:>19} {:>15} {:>6}  without a whole answer",
            "rank",
            "offered",
            "whole",
            "in target",
            "good/s",
            "worth/s",
            "first token",
            "between",
            "tokens"
        )?;
        for rank in self.ranks.iter().chain([&self.total]) {
            writeln!(f, "{rank}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RankReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let failures: Vec<String> = self
            .failures
            .iter()
            .map(|(reason, count)| format!("{reason}: {count}"))
            .collect();
        let failures = failures.join(", ");
        write!(
            f,
            "{:<10} {:>8} {:>8} {:>9} {:>9.2} {:>9.2} {:>19} {:>15} {:>5.1}%  {failures}",
            self.name,
            self.offered,
            self.whole,
            self.in_target,
            self.goodput_per_s,
            self.worth_per_s,
            self.first_token.to_string(),
            self.between_tokens.to_string(),
            self.token_share * 100.0,
        )
    }
}
