//! Measurements of a load run and the table that shows them.

use std::{collections::BTreeMap, fmt};

use conf::Name;
use hdrhistogram::Histogram;

use crate::{
    arrivals,
    client::{Ending, Exchange},
    load::{LoadSettings, RankLoad},
};

/// Highest value of a histogram, in simulated microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Number of significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of one request. All times are simulated.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Index into `LoadSettings::ranks`.
    pub rank: usize,
    /// Whether the complete expected answer arrived.
    pub is_complete: bool,
    /// Reason why the complete expected answer did not arrive.
    pub failure_reason: Option<Name>,
    /// Time from the arrival to the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Time from the arrival to the end of the exchange, in milliseconds.
    pub total_ms: f64,
    /// Times of the tokens since the start of the run, in milliseconds.
    pub token_times_ms: Vec<f64>,
    /// Time from the arrival until the generator sent the request, in milliseconds.
    pub send_delay_ms: f64,
}

impl RequestOutcome {
    fn between_tokens_ms(&self) -> impl Iterator<Item = f64> + '_ {
        self.token_times_ms.windows(2).map(|pair| pair[1] - pair[0])
    }

    fn mean_between_tokens_ms(&self) -> f64 {
        let gaps = self.token_times_ms.len().saturating_sub(1);
        self.between_tokens_ms().sum::<f64>() / gaps.max(1) as f64
    }

    /// Returns whether the answer is complete and its time to first token, mean time between tokens and total time are
    /// within the targets of the rank.
    fn is_in_target(&self, rank: &RankLoad) -> bool {
        let first_token_ms = self.first_token_ms.unwrap_or(f64::INFINITY);
        self.is_complete
            && first_token_ms <= rank.target_first_token_ms
            && self.mean_between_tokens_ms() <= rank.target_between_tokens_ms
            && self.total_ms <= rank.target_total_ms
    }
}

/// Returns the reason why an exchange did not bring the complete expected answer.
pub fn failure_reason(exchange: &Exchange) -> Name {
    let status = exchange.status.map_or(0, |status| status.as_u16());
    match exchange.ending {
        Ending::NotConnected => Name::from_static_str("not connected"),
        Ending::NoResponse => Name::from_static_str("no response"),
        Ending::TimedOut => Name::from_static_str("timed out"),
        Ending::Interrupted => Name::from_static_str("cut"),
        Ending::Complete if status == 200 => Name::from_static_str("wrong text"),
        Ending::Complete => refusal_reason(status, exchange),
    }
}

fn refusal_reason(status: u16, exchange: &Exchange) -> Name {
    let json = exchange.json();
    let reason = match &json["error"]["code"] {
        serde_json::Value::String(code) => code.clone(),
        _ => json["error"]["message"].as_str().unwrap_or("").to_owned(),
    };
    let run = exchange
        .run_field()
        .unwrap_or_else(|| "no run field".to_owned());
    Name::from(format!("{status} {reason} ({run})"))
}

/// Percentiles of durations, in simulated milliseconds.
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
    fn from_times(times_ms: impl Iterator<Item = f64>) -> Self {
        let Ok(mut histogram) =
            Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        else {
            return Self::default();
        };
        for time_ms in times_ms {
            histogram.saturating_record((time_ms.max(0.0) * 1_000.0) as u64);
        }
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50_ms: quantile_ms(0.50),
            p95_ms: quantile_ms(0.95),
            p99_ms: quantile_ms(0.99),
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

/// Measurements of one rank, or of all requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankReport {
    /// Name of the rank, or `all`.
    pub name: Name,
    /// Number of requests that arrived.
    pub offered: u64,
    /// Number of complete answers.
    pub complete: u64,
    /// Number of complete answers within their targets.
    pub in_target: u64,
    /// Number of complete answers within their targets, per second.
    pub goodput_per_s: f64,
    /// Sum of the worths of the complete answers within their targets, per second.
    pub worth_per_s: f64,
    /// Time from the arrival to the first token.
    pub first_token: Percentiles,
    /// Time between consecutive tokens of an answer.
    pub between_tokens: Percentiles,
    /// Fraction of the output tokens in the measurement window that the rank received. The window is the flood or,
    /// without one, the whole run.
    pub token_share: f64,
    /// Numbers of requests without the complete expected answer, by reason.
    pub failures: BTreeMap<Name, u64>,
}

/// Result of a load run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadRunReport {
    /// Name of the workload.
    pub workload: Name,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Measurements by rank, most urgent first.
    pub ranks: Vec<RankReport>,
    /// Measurements of all requests.
    pub total: RankReport,
    /// Maximum time from an arrival until its request was sent, in milliseconds. With a large delay the offered load is
    /// lower than the settings say.
    pub max_send_delay_ms: f64,
}

impl LoadRunReport {
    /// Computes the measurements from the results of all requests of a run.
    pub fn new(settings: &LoadSettings, outcomes: &[RequestOutcome]) -> Self {
        let all: Vec<&RequestOutcome> = outcomes.iter().collect();
        let tokens = window_tokens(settings, &all);
        let total = measure(settings, "all", &all, tokens);
        let ranks: Vec<RankReport> = settings
            .ranks
            .iter()
            .enumerate()
            .map(|(index, rank)| {
                let rank_outcomes: Vec<&RequestOutcome> =
                    outcomes.iter().filter(|o| o.rank == index).collect();
                measure(settings, &rank.name, &rank_outcomes, tokens)
            })
            .collect();
        Self {
            workload: Name::from_static_str(settings.workload.name()),
            seed: settings.seed,
            ranks,
            total,
            max_send_delay_ms: outcomes.iter().map(|o| o.send_delay_ms).fold(0.0, f64::max),
        }
    }
}

fn measure(
    settings: &LoadSettings,
    name: &str,
    outcomes: &[&RequestOutcome],
    tokens: u64,
) -> RankReport {
    let is_in_target =
        |outcome: &&&RequestOutcome| outcome.is_in_target(&settings.ranks[outcome.rank]);
    let in_target: Vec<&&RequestOutcome> = outcomes.iter().filter(is_in_target).collect();
    // The sum of no floats is negative zero; adding 0.0 makes it positive.
    let worth = 0.0
        + in_target
            .iter()
            .map(|o| settings.ranks[o.rank].worth)
            .sum::<f64>();
    let duration_s = settings.duration_ms / 1_000.0;
    let mut failures = BTreeMap::new();
    for reason in outcomes.iter().filter_map(|o| o.failure_reason.clone()) {
        *failures.entry(reason).or_default() += 1;
    }
    RankReport {
        name: Name::from(name.to_owned()),
        offered: outcomes.len() as u64,
        complete: outcomes.iter().filter(|o| o.is_complete).count() as u64,
        in_target: in_target.len() as u64,
        goodput_per_s: in_target.len() as f64 / duration_s,
        worth_per_s: worth / duration_s,
        first_token: Percentiles::from_times(outcomes.iter().filter_map(|o| o.first_token_ms)),
        between_tokens: Percentiles::from_times(
            outcomes.iter().flat_map(|o| o.between_tokens_ms()),
        ),
        token_share: window_tokens(settings, outcomes) as f64 / tokens.max(1) as f64,
        failures,
    }
}

fn window_tokens(settings: &LoadSettings, outcomes: &[&RequestOutcome]) -> u64 {
    let (start_ms, end_ms) = arrivals::measurement_window_ms(settings);
    let times = outcomes.iter().flat_map(|o| &o.token_times_ms);
    let inside = times.filter(|time_ms| (start_ms..end_ms).contains(*time_ms));
    inside.count() as u64
}

impl fmt::Display for LoadRunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "workload {}, seed {}, sent at most {:.0} ms late; times as p50/p95/p99 in ms",
            self.workload, self.seed, self.max_send_delay_ms
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
            self.complete,
            self.in_target,
            self.goodput_per_s,
            self.worth_per_s,
            self.first_token.to_string(),
            self.between_tokens.to_string(),
            self.token_share * 100.0,
        )
    }
}
