//! Compares queues and policies by rank while one rank sends five times the capacity of the engines, with instances
//! that see delayed reports.

#[path = "fake/mod.rs"]
mod fake;

use admit::Discipline;
use fake::{Arrival, Chooser, Setup};
use route::Policy;

const ENGINES: usize = 10;
const INSTANCES: usize = 6;
const FLOORS: [f64; 3] = [0.2, 0.3, 0.1];
const LENGTH_MS: u64 = 60_000;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Capacity in requests per second: 10 engines, 1,000 output tokens/s each, 250 tokens per answer.
const CAPACITY_PER_S: f64 = 40.0;

fn trace(seed: u64, loads: [f64; 3]) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut trace = Vec::new();
    for (rank, load) in loads.into_iter().enumerate() {
        let make = |rng: &mut fastrand::Rng| Arrival {
            rank: rank as u8,
            client_account: "t".into(),
            output_tokens: rng.u32(150..350),
            first_token_ms: [3_000, 6_000, 20_000][rank],
            total_ms: [20_000, 30_000, 60_000][rank],
            ..fake::long_answer(rng, INSTANCES)
        };
        let rate = load * CAPACITY_PER_S;
        trace.extend(fake::arrivals(&mut rng, 0, LENGTH_MS, rate, make));
    }
    trace.sort_by_key(|arrival| arrival.at_ms);
    trace
}

fn main() {
    let config = fake::fleet(ENGINES, FLOORS);
    let floods = [
        ("least urgent at 5 x capacity", [0.3, 0.2, 5.0]),
        ("most urgent at 5 x capacity", [5.0, 0.5, 0.3]),
    ];
    let rows = [
        (
            "cost-based, ranked queue",
            Policy::CostBased,
            Discipline::Ranked,
        ),
        (
            "cost-based, single queue",
            Policy::CostBased,
            Discipline::SingleQueue,
        ),
        (
            "least outstanding, single queue",
            Policy::LeastOutstanding,
            Discipline::SingleQueue,
        ),
    ];
    println!(
        "| flood | policy | in target, % of offered, ranks 0; 1; 2 | share of tokens, %, ranks 0; 1; 2 |"
    );
    println!("|---|---|---|---|");
    for (name, loads) in floods {
        for (policy_name, policy, discipline) in rows {
            let chooser = Chooser::Instance(policy);
            let mut in_target = [Vec::new(), Vec::new(), Vec::new()];
            let mut shares = [Vec::new(), Vec::new(), Vec::new()];
            for seed in SEEDS {
                let setup = Setup {
                    chooser,
                    discipline,
                    instances: INSTANCES,
                    seed,
                };
                let outcome = fake::run(&config, &trace(seed, loads), setup);
                let tokens: f64 = outcome.tokens.iter().sum();
                for rank in 0..3 {
                    let offered = f64::from(outcome.offered[rank]);
                    in_target[rank].push(f64::from(outcome.in_target[rank]) * 100.0 / offered);
                    shares[rank].push(outcome.tokens[rank] * 100.0 / tokens);
                }
            }
            let cells =
                |values: &[Vec<f64>; 3]| values.each_ref().map(|values| spread(values)).join("; ");
            println!(
                "| {name} | {policy_name} | {} | {} |",
                cells(&in_target),
                cells(&shares)
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
