//! Prints the size of the control state and the times to apply commands to it, to encode it and to restore it.
//!
//! `cargo run --release -p wire --example control_state`
//!
//! Each ledger record holds an answer of 512 bytes. The configuration revisions have 186 upstreams and 1,000 client
//! accounts, or the target size of 1,300 upstreams and 11,000 client accounts.

use std::time::Instant;

use conf::{ClientAccount, ServiceConfig, Upstream};
use fleet::{Command, Configure, ControlState, Proposal, ProposalId};
use ledger::{Answer, AttemptId, Begin, Finish, Key, Outcome};

const ANSWER_BYTES: usize = 512;
const PAGE_BYTES: u64 = 4096;

/// Measured cases: kind of state, numbers of upstreams and client accounts of its configuration, and numbers of items.
const CASES: [(&str, usize, usize, [u64; 4]); 3] = [
    ("ledger records", 0, 0, [1_000, 10_000, 100_000, 200_000]),
    ("revisions 186/1000", 186, 1_000, [1, 16, 64, 256]),
    ("revisions 1300/11000", 1_300, 11_000, [1, 16, 64, 256]),
];

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, kind, count] = &args[..] {
        return run(kind, count.parse().expect("a count"));
    }
    println!(
        "state                   count  apply_us  resident_B/item  encoded_bytes  parts_ms  encode_ms  restore_ms"
    );
    let program = std::env::current_exe().expect("the example's path");
    for (kind, _, _, counts) in CASES {
        for count in counts {
            // Each measurement runs in a process of its own. Otherwise the state would reuse freed pages of an earlier
            // one, and its resident size would seem too small.
            let status = std::process::Command::new(&program)
                .args([kind, &count.to_string()])
                .status();
            assert!(status.is_ok_and(|status| status.success()));
        }
    }
}

fn run(kind: &str, count: u64) {
    let case = CASES.iter().find(|case| case.0 == kind);
    let (_, upstreams, client_accounts, _) = case.expect("a known kind");
    if *client_accounts == 0 {
        return measure(kind, count, |state, n| {
            state.apply(&begin(n));
            state.apply(&finish(n));
        });
    }
    let mut base = config(*upstreams, *client_accounts);
    measure(kind, count, |state, n| {
        base.client_accounts[0].weight = n as f64 + 1.0;
        let canonical = base.canonical_text();
        state.apply(&proposal(
            n,
            Command::Configure(Configure {
                base_revision: state.revision(),
                content_id: conf::content_id(&canonical),
                canonical: canonical.into(),
                files: Vec::new(),
                author: "operator".into(),
            }),
        ));
    });
}

fn measure(name: &str, count: u64, mut add: impl FnMut(&mut ControlState, u64)) {
    let bytes_before = resident_bytes();
    let mut state = ControlState::default();
    let started = Instant::now();
    for n in 0..count {
        add(&mut state, n);
    }
    let apply_us = started.elapsed().as_secs_f64() * 1e6 / count as f64;
    let item_bytes = resident_bytes().saturating_sub(bytes_before) / count;
    let started = Instant::now();
    let parts = state.to_parts();
    let parts_ms = elapsed_ms(started);
    let started = Instant::now();
    let encoded = wire::encode_control(&parts);
    let encode_ms = elapsed_ms(started);
    drop(parts);
    match encoded {
        Err(error) => println!("{name:<22} {count:>6} {apply_us:>9.2} {item_bytes:>16} {error}"),
        Ok(data) => {
            let started = Instant::now();
            let parts = wire::decode_control(&data).expect("the state decodes");
            let restored = ControlState::from_parts(parts);
            let restore_ms = elapsed_ms(started);
            assert_eq!(restored.revision(), state.revision());
            println!(
                "{name:<22} {count:>6} {apply_us:>9.2} {item_bytes:>16} {:>14} {parts_ms:>9.2} {encode_ms:>10.2} {restore_ms:>11.2}",
                data.len()
            );
        }
    }
}

fn elapsed_ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn proposal(sequence: u64, command: Command) -> Proposal {
    Proposal {
        id: ProposalId {
            instance: "instance-017".into(),
            incarnation: 1,
            sequence,
        },
        at_ms: 1_700_000_000_000,
        command,
    }
}

fn key(n: u64) -> Key {
    Key {
        client_account: format!("tenant-{:05}", n % 11_000).into(),
        key: format!("4fd8a3c1-06c5-4f7c-8f3a-{n:012x}").into(),
    }
}

fn attempt(n: u64) -> AttemptId {
    AttemptId {
        instance: "instance-017".into(),
        incarnation: 1,
        sequence: n,
    }
}

fn begin(n: u64) -> Proposal {
    let begin = Begin {
        key: key(n),
        body_sha256: [7; 32],
        attempt: attempt(n),
        answer_timeout_ms: 12_000,
        retention_ms: 86_400_000,
    };
    proposal(n * 2, Command::Begin(begin))
}

fn finish(n: u64) -> Proposal {
    let finish = Finish {
        key: key(n),
        attempt: attempt(n),
        outcome: Outcome::Answered(Answer {
            status: 200,
            headers: vec![("content-type".into(), "application/json".into())],
            body: vec![b'x'; ANSWER_BYTES].into(),
            truncated: false,
        }),
    };
    proposal(n * 2 + 1, Command::Finish(finish))
}

fn config(upstreams: usize, client_accounts: usize) -> ServiceConfig {
    ServiceConfig {
        client_accounts: (0..client_accounts)
            .map(|n| ClientAccount {
                name: format!("tenant-{n:05}").into(),
                key_sha256: conf::content_id(&format!("key-{n}")),
                ranks: vec!["normal".into(), "urgent".into(), "late".into()],
                ..ClientAccount::default()
            })
            .collect(),
        upstreams: (0..upstreams)
            .map(|n| Upstream {
                name: format!("upstream-{n:04}").into(),
                service: "assistant".into(),
                address: format!("10.1.{}.{}:8000", n / 250, n % 250).into(),
                availability_zone: format!("region-{}-zone-{}", n % 3, n % 7).into(),
                ..Upstream::default()
            })
            .collect(),
        ..ServiceConfig::default()
    }
}
