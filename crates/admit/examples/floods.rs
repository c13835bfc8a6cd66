//! Compares the ranked queues with a single queue while one rank sends more requests than the capacity.

#[path = "../tests/common/mod.rs"]
mod common;

use admit::Discipline;
use common::{CAPACITY_PER_S, Stream, config, run, shares};

const FLOORS: [f64; 3] = [0.2, 0.3, 0.1];
const ALLOWED_MS: [u64; 3] = [2_000, 5_000, 20_000];
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const LENGTH_MS: u64 = 60_000;

fn main() {
    let floods = [
        ("least urgent at 5 x capacity", [0.3, 0.2, 5.0]),
        ("middle at 5 x capacity", [0.3, 5.0, 0.3]),
        ("most urgent at 5 x capacity", [5.0, 0.5, 0.3]),
        ("all at 1.5 x capacity", [1.5, 1.5, 1.5]),
    ];
    println!(
        "Floors: {FLOORS:?}. Each cell has mean (min to max) over the seeds, for ranks 0, 1 and 2."
    );
    println!();
    println!("| flood | queue | in time, % of offered | share of tokens, % |");
    println!("|---|---|---|---|");
    for (name, loads) in floods {
        for discipline in [Discipline::Ranked, Discipline::SingleQueue] {
            let stream = |rank: usize| Stream {
                client_account: "t",
                rank: rank as u8,
                rate: loads[rank] * CAPACITY_PER_S,
                allowed_ms: ALLOWED_MS[rank],
            };
            let streams = [stream(0), stream(1), stream(2)];
            let mut in_time = [Vec::new(), Vec::new(), Vec::new()];
            let mut token_shares = [Vec::new(), Vec::new(), Vec::new()];
            for seed in SEEDS {
                let counts = run(&config(FLOORS), discipline, &streams, LENGTH_MS, seed);
                for (rank, share) in shares(&counts).into_iter().enumerate() {
                    let count = counts[rank];
                    in_time[rank].push(f64::from(count.in_time) * 100.0 / f64::from(count.offered));
                    token_shares[rank].push(share * 100.0);
                }
            }
            let cells =
                |values: &[Vec<f64>; 3]| values.each_ref().map(|values| spread(values)).join("; ");
            println!(
                "| {name} | {discipline:?} | {} | {} |",
                cells(&in_time),
                cells(&token_shares)
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
