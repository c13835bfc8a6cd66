//! Compares rules for the placement of prompts whose beginning some engine may hold.

#[path = "../tests/prefix_support/mod.rs"]
mod prefix_support;

use std::time::Instant;

use prefix_support::{BASE, Case, Entry, RULES, Rule, cases, choose, play, prompt};

const SEEDS: [u64; 3] = [1, 2, 3];
const CHOICES: u64 = 1_000;

fn main() {
    println!(
        "{:34} {:4} {:14} {:>8} {:>8} {:>12} {:>12} {:>8} {:>14}",
        "case", "seed", "rule", "p50 ms", "p99 ms", "again", "fetched", "in time", "expected/held"
    );
    for case in cases() {
        for seed in SEEDS {
            for rule in RULES {
                let report = play(&case, rule, seed);
                let (expected, held) = report.expected_and_held();
                println!(
                    "{:34} {seed:4} {:14} {:8.0} {:8.0} {:12} {:12} {:8.3} {expected:6.2} / {held:.2}",
                    case.name,
                    format!("{rule:?}"),
                    report.quantile_ms(0.5),
                    report.quantile_ms(0.99),
                    report.computed_again,
                    report.fetched,
                    report.in_time(),
                );
            }
        }
    }
    print_choice_times();
}

/// Prints how long a choice takes if each engine holds some tens of parts.
fn print_choice_times() {
    for engines in [30, 190] {
        let case = Case {
            engines,
            entries: 70,
            ..BASE
        };
        let mut entry = Entry::new(&case);
        for upstream in &mut entry.upstreams {
            for part in 1..=60 {
                upstream.on_reported_prefix(part, 900);
                entry
                    .prefixes
                    .on_reported(900, &"model".into(), part, &mut upstream.cached_parts);
            }
        }
        for rule in [Rule::ByAge, Rule::Weighed] {
            let begun = Instant::now();
            for index in 0..CHOICES {
                let prompt = prompt(&case, 1 + index % 60, index);
                choose(&case, rule, &entry, &prompt, 1_000, index);
            }
            let each_us = begun.elapsed().as_micros() as f64 / CHOICES as f64;
            println!("{engines} engines, {rule:?}: {each_us:.1} us for a choice");
        }
    }
}
