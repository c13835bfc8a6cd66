//! A simulated server with a fixed number of slots, in virtual time, and request streams above its capacity.
#![allow(dead_code, reason = "each test uses a part")]

use admit::{Discipline, Queues, Refusal, WaitingRequest};
use conf::{ClientAccount, RankPolicy, ServiceConfig};
use quickcheck::{Gen, QuickCheck, Testable};

/// Number of requests that run at the same time.
pub const SLOTS: usize = 10;
/// Run time of one request of 1,000 tokens, in milliseconds.
pub const SERVICE_MS: u64 = 500;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 10;
/// Time after the last arrival in which waiting requests are still dispatched, in milliseconds.
const DRAIN_MS: u64 = 21_000;
/// Capacity of the server, in requests of 1,000 tokens per second.
pub const CAPACITY_PER_S: f64 = SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;

pub fn config(floors: [f64; 3]) -> ServiceConfig {
    let rank = |(index, floor): (usize, f64)| RankPolicy {
        name: format!("r{index}").into(),
        floor,
        queue_limit: 100,
        ..RankPolicy::default()
    };
    ServiceConfig {
        ranks: floors.into_iter().enumerate().map(rank).collect(),
        ..ServiceConfig::default()
    }
}

pub fn client_account(name: &'static str, weight: f64) -> ClientAccount {
    ClientAccount {
        name: name.into(),
        requests_per_s: 1e6,
        burst: 1e6,
        weight,
        ..ClientAccount::default()
    }
}

/// Checks a property on 200 cases. The seed is fixed, so that a failure repeats; `SEED` sets another one.
pub fn check<A: Testable>(property: A) {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let generator = Gen::from_size_and_seed(100, seed.unwrap_or(1));
    QuickCheck::new()
        .rng(generator)
        .tests(200)
        .quickcheck(property);
}

pub fn waiting(id: u64, rank: u8) -> WaitingRequest {
    WaitingRequest {
        id,
        client_account: "t".into(),
        service: "chat".into(),
        model: "m".into(),
        rank,
        tokens: 1_000,
        service_ms: SERVICE_MS,
        deadline_ms: 1_000_000,
        ..WaitingRequest::default()
    }
}

/// A stream of `rate` requests per second.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub client_account: &'static str,
    pub rank: u8,
    pub rate: f64,
    /// Time allowed for the whole answer, in milliseconds.
    pub allowed_ms: u64,
}

/// Counts of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub expired: u32,
    /// Tokens dispatched in the second half of the run.
    pub tokens: f64,
}

/// Runs the streams for `length_ms` against a server with [`SLOTS`] slots.
pub fn run(
    config: &ServiceConfig,
    discipline: Discipline,
    streams: &[Stream],
    length_ms: u64,
    seed: u64,
) -> Vec<Counts> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut queues = Queues::new(discipline);
    queues.apply_config(config);
    let mut counts = vec![Counts::default(); streams.len()];
    let mut running: Vec<(u64, WaitingRequest)> = Vec::new();
    let mut sent = 0;
    for now_ms in (0..length_ms + DRAIN_MS).step_by(STEP_MS as usize) {
        for (end_ms, waiting) in running.extract_if(.., |(end_ms, _)| *end_ms <= now_ms) {
            let count = &mut counts[waiting.id as usize % streams.len()];
            match end_ms <= waiting.deadline_ms {
                true => count.in_time += 1,
                false => count.late += 1,
            }
            queues.on_finish(now_ms, waiting.id, waiting.tokens);
        }
        if now_ms >= length_ms && running.is_empty() && queues.is_empty() {
            break;
        }
        let arriving = if now_ms < length_ms { streams } else { &[] };
        for (index, stream) in arriving.iter().enumerate() {
            let mut expected = stream.rate * STEP_MS as f64 / 1_000.0;
            while rng.f64() < expected {
                expected -= 1.0;
                sent += 1;
                let request = WaitingRequest {
                    client_account: stream.client_account.into(),
                    deadline_ms: now_ms + stream.allowed_ms,
                    ..waiting(sent * streams.len() as u64 + index as u64, stream.rank)
                };
                counts[index].offered += 1;
                if queues.offer(now_ms, request).is_err() {
                    counts[index].refused += 1;
                }
            }
        }
        for refused in queues.expire(now_ms) {
            let count = &mut counts[refused.request.id as usize % streams.len()];
            match refused.refusal {
                Refusal::Expired => count.expired += 1,
                _ => count.refused += 1,
            }
        }
        while running.len() < SLOTS {
            let Some(waiting) = queues.next(now_ms, |_| true) else {
                break;
            };
            if (length_ms / 2..length_ms).contains(&now_ms) {
                let count = &mut counts[waiting.id as usize % streams.len()];
                count.tokens += f64::from(waiting.tokens);
            }
            running.push((now_ms + SERVICE_MS, waiting));
        }
        // The queues measure their dispatch rate only if `next` is called while no slot is free.
        if running.len() == SLOTS {
            assert!(queues.next(now_ms, |_| false).is_none());
        }
    }
    counts
}

/// Returns each stream's share of the tokens.
pub fn shares(counts: &[Counts]) -> Vec<f64> {
    let total: f64 = counts.iter().map(|count| count.tokens).sum();
    counts.iter().map(|count| count.tokens / total).collect()
}
