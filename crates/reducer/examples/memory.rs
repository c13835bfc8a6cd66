//! Prints the resident memory of the state of an instance that serves callers and of a leader, and the time to bring a
//! configuration into force, at several fleet sizes.
//!
//! `cargo run --release -p reducer --example memory`
//!
//! Each memory figure is the growth of the resident size in `/proc/self/statm` of a separate process.

mod target;

use std::process::Command;
use std::time::Instant;

use reducer::{Arrival, Event, RequestKind};
use target::{Leader, ServingInstance, Size};

const PAGE_BYTES: u64 = 4096;

/// Dimensions of the load and of the fleet, with the counts at which each of them is measured.
const DIMENSIONS: [(&str, [usize; 4]); 6] = [
    ("upstreams", [13, 186, 650, 1_300]),
    ("instances", [8, 46, 160, 320]),
    ("tenants", [100, 1_000, 5_000, 11_000]),
    ("exchanges", [0, 500, 1_000, 4_000]),
    ("leader-instances", [8, 46, 160, 320]),
    ("leader-upstreams", [13, 186, 650, 1_300]),
];

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, dimension, count] = &args[..] {
        return measure(dimension, count.parse().expect("a count"));
    }
    println!("growing              count  resident_KiB  config_bytes  parse_ms  in_force_ms");
    let program = std::env::current_exe().expect("the example's path");
    for (dimension, counts) in DIMENSIONS {
        for count in counts {
            // Each state is built in a separate process, because it would reuse freed pages of an earlier state.
            let status = Command::new(&program)
                .args([dimension, &count.to_string()])
                .status();
            assert!(status.is_ok_and(|status| status.success()));
        }
    }
}

fn measure(dimension: &str, count: usize) {
    let base = Size {
        upstreams: 13,
        instances: 8,
        client_accounts: 100,
    };
    let size = match dimension {
        "upstreams" | "leader-upstreams" => Size {
            upstreams: count,
            ..base
        },
        "instances" | "leader-instances" => Size {
            instances: count,
            ..base
        },
        "tenants" => Size {
            client_accounts: count,
            ..base
        },
        "exchanges" => Size {
            upstreams: 186,
            ..base
        },
        _ => panic!("unknown dimension {dimension}"),
    };
    let before = resident_bytes();
    let text = target::config(size).canonical_text();
    let started = Instant::now();
    let parsed = conf::ServiceConfig::from_canonical_text(&text).expect("the text parses");
    let parse_ms = millis(started);
    drop(parsed);
    if dimension.starts_with("leader") {
        let mut leader = Leader::new(size);
        for n in 1..size.instances {
            let event = leader.report(n, 1, 0);
            leader.run(event);
        }
        for _ in 0..500 {
            leader.tick();
        }
        return print(dimension, count, before, text.len(), parse_ms, 0.0);
    }
    let mut instance = ServingInstance::new(size);
    if dimension == "exchanges" {
        open_exchanges(&mut instance, count as u64, size);
        return print(dimension, count, before, text.len(), parse_ms, 0.0);
    }
    print(
        dimension,
        count,
        before,
        text.len(),
        parse_ms,
        in_force_ms(&mut instance, size),
    );
}

fn print(
    dimension: &str,
    count: usize,
    before: u64,
    text_bytes: usize,
    parse_ms: f64,
    in_force_ms: f64,
) {
    let growth_kib = (resident_bytes() - before) / 1024;
    println!(
        "{dimension:<18} {count:>7} {growth_kib:>13} {text_bytes:>13} {parse_ms:>9.2} {in_force_ms:>12.2}"
    );
}

fn open_exchanges(instance: &mut ServingInstance, count: u64, size: Size) {
    for exchange in 0..count {
        instance.now_ms += 1;
        let arrival = Arrival {
            exchange,
            client_account: target::account_name(exchange as usize % size.client_accounts),
            rank: None,
            kind: RequestKind::Chat {
                model: target::model_name(exchange as usize % target::MODELS),
                prompt_tokens: 8_000,
                chunk_hashes: vec![exchange * 2, exchange * 2 + 1],
                max_tokens: None,
            },
        };
        instance.step(Event::Arrived(Box::new(arrival)));
    }
    assert_eq!(instance.state.open_exchanges() as u64, count);
}

/// Returns the time to bring a configuration into force, in milliseconds. The time includes the parsing of the
/// configuration text, but not the decoding of the message.
fn in_force_ms(instance: &mut ServingInstance, size: Size) -> f64 {
    let revision = target::revision(&target::config(size), 2);
    instance.now_ms += 500;
    instance.tick();
    let reply = fleet::LeaderReply {
        revision: 2,
        config: Some(revision),
        ..instance.reply()
    };
    let event = instance.leader_event(reply);
    let started = Instant::now();
    instance.step(event);
    millis(started)
}

fn millis(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
