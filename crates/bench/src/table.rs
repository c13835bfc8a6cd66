//! Table of an experiment's results.

use std::{collections::BTreeMap, fmt};

use conf::Name;
use standin::report::RankReport;

use crate::{Case, Policy, Preset, Run, Settings, usage::Usage};

/// Mean, minimum and maximum of a measure over the runs with different seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of `values`. All fields are 0 if there are no values.
    pub fn from_values(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        if values.is_empty() {
            return Self::default();
        }
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = f.precision().unwrap_or(2);
        let (mean, min, max) = (self.mean, self.min, self.max);
        // `Formatter::pad` would truncate the text to the precision.
        let text = format!("{mean:.digits$} [{min:.digits$}, {max:.digits$}]");
        write!(f, "{text:>width$}", width = f.width().unwrap_or(0))
    }
}

/// All runs of an experiment, printed by case and policy.
#[derive(Debug)]
pub struct Table<'a> {
    settings: &'a Settings,
    preset: &'a Preset,
    runs: &'a [Run],
}

impl<'a> Table<'a> {
    /// Creates a table of `runs`.
    pub fn new(settings: &'a Settings, preset: &'a Preset, runs: &'a [Run]) -> Self {
        Self {
            settings,
            preset,
            runs,
        }
    }

    fn runs_of(&self, case: Case, policy: Policy) -> Vec<&'a Run> {
        let is_selected = |run: &&Run| run.case == case && run.policy == policy;
        self.runs.iter().filter(is_selected).collect()
    }

    /// Returns the spread of the ratios to the baseline with the same seed.
    fn ratios(&self, case: Case, policy: Policy, measure: impl Fn(&Run) -> f64) -> Spread {
        let baseline = self.runs_of(case, self.settings.baseline);
        let pairs = self.runs_of(case, policy).into_iter().filter_map(|run| {
            let same_seed = |base: &&&Run| base.report.seed == run.report.seed;
            let base = baseline.iter().find(same_seed)?;
            Some(measure(run) / measure(base).max(f64::MIN_POSITIVE))
        });
        Spread::from_values(pairs)
    }

    fn write_case(&self, f: &mut fmt::Formatter<'_>, case: Case) -> fmt::Result {
        writeln!(f, "\ncase {}", case.name())?;
        writeln!(
            f,
            "{:<18} {:>20} {:>20} {:>20} {:>20} {:>20} {:>6} {:>8} {:>7} {:>11} {:>11} {:>10}",
            "policy",
            "in target /s",
            "ratio",
            "worth /s",
            "worth ratio",
            "whole ratio",
            "roles",
            "retries",
            "prefix",
            "CPU s/inst",
            "peer kB/in",
            "late ms"
        )?;
        for policy in &self.settings.policies {
            self.write_policy(f, case, *policy)?;
        }
        writeln!(
            f,
            "{:<18} {:<14} {:>22} {:>22} {:>22} {:>6} {:>19} {:>17}  without a whole answer",
            "policy",
            "rank",
            "in target %",
            "whole %",
            "tokens %",
            "floor",
            "first token",
            "between tokens"
        )?;
        for policy in &self.settings.policies {
            self.write_ranks(f, case, *policy)?;
        }
        Ok(())
    }

    fn write_policy(&self, f: &mut fmt::Formatter<'_>, case: Case, policy: Policy) -> fmt::Result {
        let runs = self.runs_of(case, policy);
        let spread =
            |measure: fn(&Run) -> f64| Spread::from_values(runs.iter().map(|run| measure(run)));
        let busiest_instance = |measure: fn(&Usage) -> f64| {
            let usage = runs.iter().flat_map(|run| &run.usage).map(measure);
            Spread::from_values(usage).max
        };
        let mean_total = |measure: fn(&Usage) -> f64| -> f64 {
            let usage = runs.iter().flat_map(|run| &run.usage);
            usage.map(measure).sum::<f64>() / runs.len().max(1) as f64
        };
        writeln!(
            f,
            "{:<18} {:>20} {:>20} {:>20} {:>20} {:>20} {:>6.1} {:>8.1} {:>6.1}% {:>11.2} {:>11.1} {:>10.0}",
            policy.name(),
            spread(|run| run.report.total.goodput_per_s),
            self.ratios(case, policy, |run| run.report.total.goodput_per_s),
            spread(|run| run.report.total.worth_per_s),
            self.ratios(case, policy, |run| run.report.total.worth_per_s),
            self.ratios(case, policy, |run| run.report.total.complete as f64),
            mean_total(|usage| usage.role_changes),
            mean_total(|usage| usage.retries),
            spread(|run| run.prefix_hit_share).mean * 100.0,
            busiest_instance(|usage| usage.cpu_s),
            busiest_instance(|usage| usage.peer_sent_bytes) / 1_000.0,
            spread(|run| run.report.max_send_delay_ms).max,
        )
    }

    fn write_ranks(&self, f: &mut fmt::Formatter<'_>, case: Case, policy: Policy) -> fmt::Result {
        let runs = self.runs_of(case, policy);
        for (index, floor) in self.preset.floors.iter().enumerate() {
            let ranks: Vec<&RankReport> = runs
                .iter()
                .filter_map(|run| run.report.ranks.get(index))
                .collect();
            write_rank(f, policy, *floor, &ranks)?;
        }
        Ok(())
    }
}

fn write_rank(
    f: &mut fmt::Formatter<'_>,
    policy: Policy,
    floor: f64,
    ranks: &[&RankReport],
) -> fmt::Result {
    let spread =
        |measure: fn(&RankReport) -> f64| Spread::from_values(ranks.iter().map(|r| measure(r)));
    let percent = |count: u64, total: u64| count as f64 / total.max(1) as f64 * 100.0;
    let in_target = Spread::from_values(ranks.iter().map(|r| percent(r.in_target, r.offered)));
    let complete = Spread::from_values(ranks.iter().map(|r| percent(r.complete, r.offered)));
    let first_token = format!(
        "{:.0}/{:.0}/{:.0}",
        spread(|r| r.first_token.p50_ms).mean,
        spread(|r| r.first_token.p95_ms).mean,
        spread(|r| r.first_token.p99_ms).mean
    );
    let between_tokens = format!(
        "{:.0}/{:.0}/{:.0}",
        spread(|r| r.between_tokens.p50_ms).mean,
        spread(|r| r.between_tokens.p95_ms).mean,
        spread(|r| r.between_tokens.p99_ms).mean
    );
    writeln!(
        f,
        "{:<18} {:<14} {:>22.1} {:>22.1} {:>22.1} {:>5.0}% {:>19} {:>17}  {}",
        policy.name(),
        ranks.first().map_or("", |rank| rank.name.as_str()),
        in_target,
        complete,
        spread(|r| r.token_share * 100.0),
        floor * 100.0,
        first_token,
        between_tokens,
        failures(ranks),
    )
}

/// Returns the numbers of requests without the complete expected answer by reason, summed over all seeds.
fn failures(ranks: &[&RankReport]) -> String {
    let mut sums: BTreeMap<&Name, u64> = BTreeMap::new();
    for (reason, count) in ranks.iter().flat_map(|rank| &rank.failures) {
        *sums.entry(reason).or_default() += count;
    }
    let texts: Vec<String> = sums
        .iter()
        .map(|(reason, count)| format!("{reason}: {count}"))
        .collect();
    texts.join(", ")
}

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Settings { preset, seeds, .. } = self.settings;
        let load = &self.preset.load;
        writeln!(
            f,
            "preset {preset}, seeds {seeds:?}, load {}, {} simulated ms in a real one, {:.0} simulated s a run; \
             mean [minimum, maximum] over the seeds; times are simulated, p50/p95/p99 in ms",
            load.load,
            load.time_scale,
            load.duration_ms / 1_000.0
        )?;
        writeln!(
            f,
            "ratios are to {} with the same seed; CPU and peer bytes are those of the busiest \
             instance; late is the longest delay of the sending of a request",
            self.settings.baseline.name()
        )?;
        for case in &self.settings.cases {
            self.write_case(f, *case)?;
        }
        Ok(())
    }
}
