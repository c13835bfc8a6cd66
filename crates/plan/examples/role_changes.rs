//! Compares the role planner with static roles and with a planner without hysteresis.

#[path = "fake/mod.rs"]
mod fake;

use fake::Mix;
use plan::PlannerMode;

const LENGTH_MS: u64 = 1_800_000;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    let mixes = [
        Mix::Swing { period_ms: 20_000 },
        Mix::Swing { period_ms: 60_000 },
        Mix::Swing { period_ms: 240_000 },
        Mix::Swing { period_ms: 900_000 },
        Mix::Shift,
    ];
    println!(
        "| mixed efficiency | mix | planner | role changes: mean (min to max) | tokens served, % of asked: mean (min to max) |"
    );
    println!("|---|---|---|---|---|");
    for (efficiency, mix) in [0.9, 0.6]
        .into_iter()
        .flat_map(|efficiency| mixes.map(|mix| (efficiency, mix)))
    {
        for mode in [
            PlannerMode::Static,
            PlannerMode::NoHysteresis,
            PlannerMode::Hysteresis,
        ] {
            let outcomes = SEEDS.map(|seed| fake::run(mode, mix, efficiency, seed, LENGTH_MS));
            let changes = outcomes.map(|outcome| f64::from(outcome.changes));
            let served = outcomes.map(|outcome| outcome.served_share() * 100.0);
            println!(
                "| {efficiency} | {mix:?} | {mode:?} | {} | {} |",
                spread(&changes),
                spread(&served)
            );
        }
    }
}

fn spread(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.1} ({min:.1} to {max:.1})")
}
