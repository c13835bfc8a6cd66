//! The table of an experiment's results.

use bench::{Case, Policy, Preset, Run, Settings, Table, table::Spread, usage::Usage};
use standin::report::{LoadRunReport, RankReport};

fn run(policy: Policy, seed: u64, goodput_per_s: f64) -> Run {
    let rank = RankReport {
        name: "urgent".into(),
        offered: 4,
        complete: 3,
        in_target: 2,
        goodput_per_s,
        failures: [("504 deadline (not_run)".into(), 1)].into(),
        ..RankReport::default()
    };
    Run {
        case: Case::Swing,
        policy,
        report: LoadRunReport {
            seed,
            ranks: vec![rank.clone()],
            total: rank,
            ..LoadRunReport::default()
        },
        usage: vec![Usage::default()],
        prefix_hit_share: 0.25,
    }
}

/// Guards against a precision that truncates the text instead of rounding the numbers.
#[test]
fn a_spread_is_rounded_and_padded() {
    let spread = Spread::from_values([1.0, 2.0, 6.0].into_iter());
    assert_eq!(format!("{spread:>20.1}"), "      3.0 [1.0, 6.0]");
}

/// Guards against ratios of means, or ratios to the baseline with another seed.
#[test]
fn ratios_are_to_the_baseline_with_the_same_seed() {
    let settings: Settings = "cases = [\"swing\"]\nseeds = [1, 2]".parse().unwrap();
    let runs = [
        run(Policy::Own, 1, 2.0),
        run(Policy::Own, 2, 8.0),
        run(Policy::LeastOutstanding, 2, 2.0),
        run(Policy::LeastOutstanding, 1, 1.0),
    ];
    let preset = Preset {
        floors: vec![0.5],
        ..settings.preset().unwrap()
    };
    let text = Table::new(&settings, &preset, &runs).to_string();
    assert!(text.contains("3.00 [2.00, 4.00]"), "{text}");
    assert!(text.contains("504 deadline (not_run): 2"), "{text}");
    assert!(text.contains("75.0 [75.0, 75.0]"), "{text}");
}
