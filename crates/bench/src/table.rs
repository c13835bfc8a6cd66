//! The table of an experiment.

use std::{collections::BTreeMap, fmt};

use conf::Name;
use standin::report::RankReport;

use crate::{Case, Policy, Preset, Run, Settings, usage::Usage};

/// Mean, least and greatest of a measure over the seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Least value.
    pub min: f64,
    /// Greatest value.
    pub max: f64,
}

impl Spread {
    /// Spread of `values`; all zeros without any.
    pub fn of(values: impl Iterator<Item = f64>) -> Self {
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
        // `pad` would take the precision for a length.
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
    /// A table of `runs`.
    pub fn new(settings: &'a Settings, preset: &'a Preset, runs: &'a [Run]) -> Self {
        Self {
            settings,
            preset,
            runs,
        }
    }

    fn of(&self, case: Case, policy: Policy) -> Vec<&'a Run> {
        let is_of = |run: &&Run| run.case == case && run.policy == policy;
        self.runs.iter().filter(is_of).collect()
    }

    /// Ratios to the baseline with the same seed.
    fn ratios(&self, case: Case, policy: Policy, measure: impl Fn(&Run) -> f64) -> Spread {
        let baseline = self.of(case, self.settings.baseline);
        let pairs = self.of(case, policy).into_iter().filter_map(|run| {
            let same_seed = |base: &&&Run| base.report.seed == run.report.seed;
            let base = baseline.iter().find(same_seed)?;
            Some(measure(run) / measure(base).max(f64::MIN_POSITIVE))
        });
        Spread::of(pairs)
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
        let runs = self.of(case, policy);
        let spread = |measure: fn(&Run) -> f64| Spread::of(runs.iter().map(|run| measure(run)));
        let of_instance = |measure: fn(&Usage) -> f64| {
            let usage = runs.iter().flat_map(|run| &run.usage).map(measure);
            Spread::of(usage).max
        };
        let sum = |measure: fn(&Usage) -> f64| -> f64 {
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
            self.ratios(case, policy, |run| run.report.total.whole as f64),
            sum(|usage| usage.role_changes),
            sum(|usage| usage.retries),
            spread(|run| run.prefix_hit_share).mean * 100.0,
            of_instance(|usage| usage.cpu_s),
            of_instance(|usage| usage.peer_sent_bytes) / 1_000.0,
            spread(|run| run.report.late_max_ms).max,
        )
    }

    fn write_ranks(&self, f: &mut fmt::Formatter<'_>, case: Case, policy: Policy) -> fmt::Result {
        let runs = self.of(case, policy);
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
    let spread = |measure: fn(&RankReport) -> f64| Spread::of(ranks.iter().map(|r| measure(r)));
    let share = |count: u64, of: u64| count as f64 / of.max(1) as f64 * 100.0;
    let in_target = Spread::of(ranks.iter().map(|r| share(r.in_target, r.offered)));
    let whole = Spread::of(ranks.iter().map(|r| share(r.whole, r.offered)));
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
        whole,
        spread(|r| r.token_share * 100.0),
        floor * 100.0,
        first_token,
        between_tokens,
        failures(ranks),
    )
}

/// Requests without a whole answer over all seeds, by reason.
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
             mean [least, greatest] over the seeds; times are simulated, p50/p95/p99 in ms",
            load.load,
            load.time_scale,
            load.duration_ms / 1_000.0
        )?;
        writeln!(
            f,
            "ratios are to {} with the same seed; CPU and peer bytes are those of the busiest \
             instance; late is the latest sending of a request",
            self.settings.baseline.name()
        )?;
        for case in &self.settings.cases {
            self.write_case(f, *case)?;
        }
        Ok(())
    }
}
