//! Compares routing policies on the same traces while the mix of prompt and output tokens swings.

#[path = "fake/mod.rs"]
mod fake;

use admit::Discipline;
use fake::{Arrival, Chooser, Setup};
use route::Policy;

const ENGINES: usize = 20;
const ENTRIES: usize = 8;
const PHASE_MS: u64 = 20_000;
const PHASES: u64 = 4;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn trace(seed: u64, load: f64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut trace = Vec::new();
    for phase in 0..PHASES {
        let (from_ms, to_ms) = (phase * PHASE_MS, (phase + 1) * PHASE_MS);
        let (sheets_per_s, answers_per_s) = match phase % 2 {
            0 => (60.0, 10.0),
            _ => (15.0, 40.0),
        };
        let sheet = |rng: &mut fastrand::Rng| fake::sheet_question(rng, ENTRIES, 150);
        let answer = |rng: &mut fastrand::Rng| fake::long_answer(rng, ENTRIES);
        trace.extend(fake::arrivals(
            &mut rng,
            from_ms,
            to_ms,
            load * sheets_per_s,
            sheet,
        ));
        trace.extend(fake::arrivals(
            &mut rng,
            from_ms,
            to_ms,
            load * answers_per_s,
            answer,
        ));
    }
    trace.sort_by_key(|arrival| arrival.at_ms);
    trace
}

fn main() {
    let config = fake::fleet(ENGINES, [0.0; 3]);
    let rows = [
        (
            "cost-based, ranked queue",
            Chooser::Entry(Policy::CostBased),
            Discipline::Ranked,
        ),
        ("oracle, ranked queue", Chooser::Oracle, Discipline::Ranked),
        (
            "round robin",
            Chooser::Entry(Policy::RoundRobin),
            Discipline::SingleQueue,
        ),
        (
            "least outstanding",
            Chooser::Entry(Policy::LeastOutstanding),
            Discipline::SingleQueue,
        ),
        (
            "prefix hash",
            Chooser::Entry(Policy::PrefixHash),
            Discipline::SingleQueue,
        ),
    ];
    println!(
        "| load | policy | in target, % of offered: mean (min to max) | late % | refused % | prompt tokens computed, millions |"
    );
    println!("|---|---|---|---|---|---|");
    for load in [0.7, 1.0, 1.3, 1.6] {
        for (name, chooser, discipline) in rows {
            let mut good = Vec::new();
            let (mut late, mut refused, mut offered, mut prompt) = (0, 0, 0, 0.0);
            for seed in SEEDS {
                let trace = trace(seed, load);
                let setup = Setup {
                    chooser,
                    discipline,
                    entries: ENTRIES,
                    seed,
                };
                let outcome = fake::run(&config, &trace, setup);
                good.push(f64::from(outcome.good()) * 100.0 / trace.len() as f64);
                late += outcome.late.iter().sum::<u32>();
                refused += outcome.refused.iter().sum::<u32>();
                offered += trace.len();
                prompt += outcome.prompt_tokens_computed / 1e6;
            }
            let mean = good.iter().sum::<f64>() / good.len() as f64;
            let min = good.iter().copied().fold(f64::INFINITY, f64::min);
            let max = good.iter().copied().fold(0.0, f64::max);
            println!(
                "| {load} | {name} | {mean:.1} ({min:.1} to {max:.1}) | {:.1} | {:.1} | {:.1} |",
                f64::from(late) * 100.0 / offered as f64,
                f64::from(refused) * 100.0 / offered as f64,
                prompt / SEEDS.len() as f64,
            );
        }
    }
}
