//! Prints the time of one planning step at several fleet sizes.

use std::time::Instant;

use conf::Role;
use plan::{Demand, Engine, Planner, PlannerConfig, PlannerMode};

const STEPS: u64 = 500;

fn main() {
    println!("| engines | mean µs | p99 µs |");
    println!("|---|---|---|");
    for engines in [13, 186, 650, 1_300] {
        let engine = |index: usize| Engine {
            name: format!("engine-{index}").into(),
            availability_zone: format!("zone-{}", index % 7).into(),
            role: [Role::Mixed, Role::Prefill, Role::Decode][index % 3],
            ..Engine::default()
        };
        let fleet: Vec<Engine> = (0..engines).map(engine).collect();
        let mut planner = Planner::new(PlannerConfig {
            mode: PlannerMode::Hysteresis,
            ..PlannerConfig::default()
        });
        let mut times_ns = Vec::new();
        for step in 0..STEPS {
            let swing = if step % 8 < 4 { 12_000.0 } else { 4_000.0 };
            let demand = Demand {
                prompt_tokens: engines as f64 * swing * 5.0,
                output_tokens: engines as f64 * 600.0 * 5.0,
                window_ms: 5_000,
            };
            let start = Instant::now();
            let change = planner.plan(step * 5_000, &"chat".into(), &demand, &fleet);
            times_ns.push(start.elapsed().as_nanos() as u64);
            if change.is_some() {
                planner.on_refused(&"chat".into());
            }
        }
        times_ns.sort_unstable();
        let mean = times_ns.iter().sum::<u64>() as f64 / STEPS as f64;
        let p99 = times_ns[STEPS as usize * 99 / 100];
        println!(
            "| {engines} | {:.1} | {:.1} |",
            mean / 1_000.0,
            p99 as f64 / 1_000.0
        );
    }
}
