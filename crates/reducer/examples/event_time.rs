//! Prints how long the reducer takes for each kind of event, at several fleet sizes.
//!
//! `cargo run --release -p reducer --example event_time [entry|leader]`
//!
//! The reducer runs on one thread with a virtual clock and no network. In the argument and the output, `entry` is an
//! instance that serves callers and is no voter; it has 433 open exchanges, the number at the target size.

mod target;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::{Command, LeaderReply, LoadDigest, PeerMessage, Proposal, ProposalId};
use ledger::{AttemptId, Begin, Finish, Key, Outcome};
use reducer::{Arrival, CacheEvent, Effect, End, Event, ExchangeId, RequestKind};

use target::{Leader, ServingInstance, Size};

const OPEN_EXCHANGES: u64 = 433;
const REQUESTS: u64 = 20_000;
const PROGRESS_PER_REQUEST: u64 = 8;
const VIEWS: u64 = 50;
const REPORTS: usize = 4_000;
const COMMITS: u64 = 4_000;

/// Numbers of upstreams, instances and client accounts: sizes around the target that differ in one number, and the
/// largest of all three.
const SIZES: [(usize, usize, usize); 10] = [
    (13, 8, 100),
    (186, 8, 100),
    (650, 8, 100),
    (1_300, 8, 100),
    (186, 46, 100),
    (186, 160, 100),
    (186, 320, 100),
    (186, 8, 1_000),
    (186, 8, 11_000),
    (1_300, 320, 11_000),
];

/// Durations of single events, by kind of event.
#[derive(Default)]
struct Times(BTreeMap<&'static str, Vec<Duration>>);

impl Times {
    fn add(&mut self, kind: &'static str, elapsed: Duration) {
        self.0.entry(kind).or_default().push(elapsed);
    }

    fn print(mut self, size: Size) {
        for (kind, times) in &mut self.0 {
            times.sort_unstable();
            let sum: Duration = times.iter().sum();
            let micros = |time: Duration| time.as_secs_f64() * 1e6;
            println!(
                "{:>9} {:>9} {:>7}  {:<28} {:>7} {:>9.2} {:>9.2} {:>9.2}",
                size.upstreams,
                size.instances,
                size.client_accounts,
                kind,
                times.len(),
                micros(sum) / times.len() as f64,
                micros(times[times.len() / 2]),
                micros(times[times.len() * 99 / 100]),
            );
        }
    }
}

fn main() {
    let role = std::env::args().nth(1).unwrap_or_default();
    println!(
        "upstreams instances tenants  event                         events   mean_us    p50_us    p99_us"
    );
    for (upstreams, instances, client_accounts) in SIZES {
        let size = Size {
            upstreams,
            instances,
            client_accounts,
        };
        if role != "leader" {
            measure_serving_instance(size).print(size);
        }
        if role != "entry" {
            measure_leader(size).print(size);
        }
    }
}

fn timed(instance: &mut ServingInstance, times: &mut Times, kind: &'static str, event: Event) {
    let started = Instant::now();
    instance.step(event);
    times.add(kind, started.elapsed());
}

fn arrival(exchange: ExchangeId, size: Size) -> Event {
    let random = exchange.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    let prompt = random % (size.upstreams as u64 * 8);
    Event::Arrived(Box::new(Arrival {
        exchange,
        client_account: target::account_name(random as usize % size.client_accounts),
        rank: None,
        kind: RequestKind::Chat {
            model: target::model_name(random as usize % target::MODELS.min(size.upstreams - 3)),
            prompt_tokens: 8_000,
            chunk_hashes: vec![prompt * 2, prompt * 2 + 1],
            max_tokens: None,
        },
    }))
}

fn measure_serving_instance(size: Size) -> Times {
    let mut times = Times::default();
    let mut instance = ServingInstance::new(size);
    for n in 3..size.upstreams {
        let event = cache_events(n);
        timed(&mut instance, &mut times, "entry: 64 cache events", event);
    }
    let mut refused = 0;
    for exchange in 0..OPEN_EXCHANGES + REQUESTS {
        // Each client account is limited to 100 requests per second, and the smallest size has 100 accounts.
        instance.now_ms += 1;
        timed(
            &mut instance,
            &mut times,
            "entry: arrival",
            arrival(exchange, size),
        );
        let is_dispatched = |effect: &Effect| matches!(effect, Effect::Dispatch { .. });
        if !instance.effects.iter().any(is_dispatched) {
            refused += 1;
        }
        let attempt = 1;
        timed(
            &mut instance,
            &mut times,
            "entry: started",
            Event::Started { exchange, attempt },
        );
        for step in 0..PROGRESS_PER_REQUEST {
            let exchange = exchange.saturating_sub(step * 50);
            let output_tokens = 10 * (step as u32 + 1);
            let event = Event::Progress {
                exchange,
                attempt,
                output_tokens,
            };
            timed(&mut instance, &mut times, "entry: progress", event);
        }
        if let Some(oldest) = exchange.checked_sub(OPEN_EXCHANGES) {
            let event = Event::Ended {
                exchange: oldest,
                attempt,
                end: End::Complete { answer: None },
            };
            timed(&mut instance, &mut times, "entry: ended", event);
        }
        if exchange % 20 == 0 {
            let unix_ms = target::EPOCH_MS + instance.now_ms;
            timed(
                &mut instance,
                &mut times,
                "entry: tick",
                Event::Tick { unix_ms },
            );
            instance.record_report_sequence();
        }
        let upstream = exchange as usize % size.upstreams;
        timed(
            &mut instance,
            &mut times,
            "entry: load report",
            target::load_event(upstream),
        );
        if exchange % 500 == 0 {
            let reply = instance.reply();
            let event = instance.leader_event(reply);
            timed(&mut instance, &mut times, "entry: report reply", event);
        }
    }
    assert_eq!(refused, 0, "every request is dispatched to an engine");
    let zone_size = size.upstreams.div_ceil(target::ZONES);
    for _ in 0..VIEWS {
        let event = Event::Peer {
            from: target::instance_info(1).id,
            message: PeerMessage::Digest((0..zone_size).map(digest).collect()),
        };
        timed(&mut instance, &mut times, "entry: digest of a zone", event);
    }
    views(&mut instance, &mut times, size);
    configurations(&mut instance, &mut times, size);
    times
}

fn views(instance: &mut ServingInstance, times: &mut Times, size: Size) {
    for version in 2..VIEWS {
        instance.now_ms += 500;
        instance.tick();
        let reply = LeaderReply {
            view: Some(target::view(size, version)),
            ..instance.reply()
        };
        let event = instance.leader_event(reply);
        timed(instance, times, "entry: reply with view", event);
    }
}

fn configurations(instance: &mut ServingInstance, times: &mut Times, size: Size) {
    let config = target::config(size);
    for revision in 2..7 {
        instance.now_ms += 500;
        instance.tick();
        let reply = LeaderReply {
            revision,
            config: Some(target::revision(&config, revision)),
            ..instance.reply()
        };
        let event = instance.leader_event(reply);
        timed(instance, times, "entry: reply with config", event);
    }
}

fn cache_events(n: usize) -> Event {
    let chunks = target::CHUNKS_PER_ENGINE;
    let events = (0..chunks).map(|chunk| CacheEvent::Stored {
        chunk_hash: (n as u64 * 16 + chunk) % (chunks * 1_000),
    });
    Event::CacheEvents {
        upstream: format!("upstream-{n:04}").into(),
        first: 1,
        events: events.collect(),
    }
}

fn digest(n: usize) -> LoadDigest {
    LoadDigest {
        upstream: format!("upstream-{n:04}").into(),
        age_ms: 0,
        running: 10,
        waiting: 1,
        prompt_tokens_waiting: 1_000,
        kv_chunks_used: 20,
    }
}

fn measure_leader(size: Size) -> Times {
    let mut times = Times::default();
    let mut leader = Leader::new(size);
    let version = start_instances(&mut leader, &mut times, size);
    let mut timed = |leader: &mut Leader, kind, event| {
        let started = Instant::now();
        leader.step(event);
        times.add(kind, started.elapsed());
    };
    for n in 0..REPORTS {
        let event = leader.report(1 + n % (size.instances - 1), 1, version);
        timed(&mut leader, "leader: report", event);
        assert!(
            leader
                .last_reply()
                .is_some_and(|reply| reply.view.is_none())
        );
        if n % 10 == 0 {
            leader.now_ms += 20;
            let unix_ms = target::EPOCH_MS + leader.now_ms;
            timed(&mut leader, "leader: tick", Event::Tick { unix_ms });
            if let Some(event) = leader.persisted() {
                leader.run(event);
            }
        }
    }
    for n in 0..REPORTS / 10 {
        let event = leader.report(1 + n % (size.instances - 1), 1, 0);
        timed(&mut leader, "leader: report, view sent", event);
    }
    for sequence in 0..COMMITS {
        for (kind, command) in commands(sequence, size) {
            let proposal = Proposal {
                id: ProposalId {
                    instance: target::instance_info(1).id,
                    incarnation: 1,
                    sequence: sequence * 2 + u64::from(kind == "leader: propose finish"),
                },
                at_ms: 0,
                command,
            };
            let event = Event::Peer {
                from: target::instance_info(1).id,
                message: PeerMessage::Propose(proposal),
            };
            timed(&mut leader, kind, event);
            let event = leader.persisted().expect("the leader writes the proposal");
            timed(&mut leader, "leader: commit and apply", event);
        }
    }
    times
}

/// Sends reports of all instances until every engine has a gate holder. Returns the version of the leader's view.
fn start_instances(leader: &mut Leader, times: &mut Times, size: Size) -> u64 {
    let mut version = 0;
    let engines = (size.upstreams - 3) as u64;
    let started_ms = leader.now_ms;
    let mut busy = Duration::ZERO;
    loop {
        for n in 1..size.instances {
            let event = leader.report(n, 1, version);
            let started = Instant::now();
            leader.run(event);
            busy += started.elapsed();
            if let Some(reply) = leader.last_reply()
                && let Some(view) = &reply.view
            {
                version = view.version;
            }
        }
        for _ in 0..25 {
            let started = Instant::now();
            leader.tick();
            busy += started.elapsed();
        }
        let gates = leader.state.control().map_or(0, |c| {
            c.gates
                .values()
                .filter(|gate| gate.holder.is_some())
                .count() as u64
        });
        // The loop runs for at least 10 seconds of virtual time, so that the version of the view no longer changes.
        if gates == engines && leader.now_ms > started_ms + 10_000 {
            break;
        }
        assert!(
            leader.now_ms < started_ms + 60_000,
            "only {gates} of {engines} gates have a holder"
        );
    }
    times.add("leader: start, all gates", busy);
    version
}

fn commands(sequence: u64, size: Size) -> [(&'static str, Command); 2] {
    let key = Key {
        client_account: target::account_name(sequence as usize % size.client_accounts),
        key: format!("order-{sequence}").into(),
    };
    let attempt = AttemptId {
        instance: target::instance_info(1).id,
        incarnation: 1,
        sequence,
    };
    let begin = Begin {
        key: key.clone(),
        body_sha256: [7; 32],
        attempt: attempt.clone(),
        answer_timeout_ms: 12_000,
        retention_ms: 86_400_000,
    };
    let answer = ledger::Answer {
        status: 200,
        headers: vec![("content-type".into(), "application/json".into())],
        body: vec![b'x'; 512].into(),
        truncated: false,
    };
    let finish = Finish {
        key,
        attempt,
        outcome: Outcome::Answered(answer),
    };
    [
        ("leader: propose begin", Command::Begin(begin)),
        ("leader: propose finish", Command::Finish(finish)),
    ]
}
