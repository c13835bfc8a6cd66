//! Runs the soak test: callers, faults, configuration changes and the checks after a run.

mod http;
mod relay;
mod system;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use system::System;

/// Length of a run in seconds if `SOAK_SECONDS` is not set, as in CI.
const DEFAULT_SECONDS: u64 = 6;
const CALLER_COUNT: usize = 4;
/// Time after an acknowledgement from which a key that it takes away must not work.
pub const REVOKE: Duration = Duration::from_millis(2_500);
/// Account and key that all versions of the configuration have.
pub const LASTING: (&str, &str) = ("lasting", "key-lasting");
/// Account whose key differs in each version of the configuration.
pub const CHANGING: &str = "changing";

/// Returns the key of the changing account in a version.
pub fn key_of(version: u64) -> String {
    format!("key-of-{version}")
}

/// Pseudorandom number generator (xorshift) that draws the same faults in each run with the same seed.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// Counts of a run and the violations that the checks found.
#[derive(Debug, Default)]
pub struct Outcome {
    pub answered: u64,
    pub not_run: u64,
    /// Requests that were refused for their key.
    pub unauthorized: u64,
    pub unknown: u64,
    pub published: u64,
    pub faults: u64,
    /// Reports of usage, with repetitions.
    pub reports: u64,
    pub violations: Vec<String>,
}

/// Records of the upstreams and callers in a run.
#[derive(Debug, Default)]
pub struct Records {
    /// Number of runs of each request, by request id.
    pub runs: HashMap<String, u32>,
    /// Account that a worker must be told for each request; none for a request that must not run.
    accounts: HashMap<String, Option<&'static str>>,
    /// Acknowledged versions with the time of each acknowledgement.
    acknowledged: Vec<(Instant, u64)>,
    /// Ids of the requests that were refused as not run.
    refused: Vec<String>,
    /// Counts that were first reported for each window.
    reports: HashMap<u64, Value>,
    /// Holder of each fencing token.
    holders: HashMap<String, String>,
    outcome: Outcome,
}

impl Records {
    /// Records a report of usage and returns the status of the answer. Some answers are refusals, whether the report
    /// counts or not.
    pub fn on_report(&mut self, holder: &str, token: &str, report: &Value) -> u16 {
        self.outcome.reports += 1;
        let known = self.holders.entry(token.to_owned());
        let known = known.or_insert_with(|| holder.to_owned());
        if known != holder || token.is_empty() || holder.is_empty() {
            let text = format!("token {token:?} of {known:?} came from {holder:?}");
            self.outcome.violations.push(text);
        }
        let (window, counts) = (report["Window"].as_u64(), &report["Counts"]);
        let known = self.reports.entry(window.unwrap_or_default());
        if window.is_none() || !counts.is_object() || known.or_insert(counts.clone()) != counts {
            let text = format!("another report of the same window: {report}");
            self.outcome.violations.push(text);
        }
        match self.outcome.reports % 5 {
            3 => 429,
            4 => 500,
            _ => 200,
        }
    }

    /// Records that a worker runs a request, of which it has been told an account and perhaps a key.
    pub fn on_run(&mut self, id: &str, account: Option<&str>, key: Option<&str>) {
        *self.runs.entry(id.to_owned()).or_insert(0) += 1;
        let expected = self.accounts.get(id).copied().flatten();
        if expected.is_none() || account != expected || key.is_some() {
            let text = format!("{id} of {expected:?} ran as {account:?} with key {key:?}");
            self.outcome.violations.push(text);
        }
    }

    /// Chooses the key of a request that is sent now, and records what is expected of the request.
    fn choose_key(&mut self, id: &str, number: usize) -> Option<String> {
        let (account, key) = match number % 4 {
            0 => (None, None),
            1 => (None, Some("key-unknown".to_owned())),
            2 => (Some(LASTING.0), Some(LASTING.1.to_owned())),
            _ => {
                let (_, version) = self.acknowledged[number / 4 % self.acknowledged.len()];
                let mut newer = self
                    .acknowledged
                    .iter()
                    .filter(|(_, newer)| *newer > version);
                let is_revoked = newer.any(|(at, _)| at.elapsed() > REVOKE);
                let account = (!is_revoked).then_some(CHANGING);
                (account, Some(key_of(version)))
            }
        };
        self.accounts.insert(id.to_owned(), account);
        key
    }
}

pub type SharedRecords = Arc<Mutex<Records>>;

pub fn lock(records: &SharedRecords) -> MutexGuard<'_, Records> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the seeds to run.
pub fn seeds() -> Range<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..2".to_owned());
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    let number = |text: &str| text.parse().expect("SOAK_SEEDS holds numbers");
    number(first)..number(end)
}

/// Runs the soak test with one seed and returns its outcome.
pub fn run(seed: u64) -> Outcome {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map_or(DEFAULT_SECONDS, |text| text.parse().expect("a number"));
    let records = SharedRecords::default();
    let mut system = System::start(seed, &records);
    system
        .publish(1)
        .expect("the first configuration is acknowledged");
    system.wait_ready();
    lock(&records).acknowledged.push((Instant::now(), 1));
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (records, entries) = (records.clone(), system.entry_addresses());
            thread::spawn(move || send_requests(end, caller, &entries, &records))
        })
        .collect();
    let published = inject_faults(&mut system, seed, end, &records);
    for caller in callers {
        caller.join().expect("a caller does not panic");
    }
    system.end_faults();
    if let Err(reason) = system.check_version(published) {
        lock(&records).outcome.violations.push(reason);
    }
    drop(system);
    check_runs(&records)
}

/// Injects faults and publishes configurations until `end`. Returns the last acknowledged version.
fn inject_faults(system: &mut System, seed: u64, end: Instant, records: &SharedRecords) -> u64 {
    let mut rng = Rng::new(seed);
    let (mut version, mut acknowledged) = (1, 1);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(50 + rng.below(300)));
        system.inject_fault(&mut rng);
        lock(records).outcome.faults += 1;
        if rng.below(3) == 0 {
            version += 1 + rng.below(3);
            if system.publish(version).is_ok() {
                acknowledged = version;
                let mut records = lock(records);
                records.outcome.published += 1;
                records.acknowledged.push((Instant::now(), version));
            }
        }
    }
    acknowledged
}

fn send_requests(end: Instant, caller: usize, entries: &[String], records: &SharedRecords) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{caller:08x}{number:08x}");
        let entry = &entries[number % entries.len()];
        let key = lock(records).choose_key(&id, number);
        let mut headers = vec![("Request-Id", id.as_str()), ("Deadline-Ms", "800")];
        headers.push(("Tenant-Id", "of the caller's choice"));
        headers.extend(key.as_deref().map(|key| ("Credential", key)));
        let response = http::send(entry, "POST", "/once/x", &headers, b"");
        let mut records = lock(records);
        match response {
            Ok(response) if response.status == 200 => {
                records.outcome.answered += 1;
                if response.body != format!("answer to {id}").as_bytes() {
                    records
                        .outcome
                        .violations
                        .push(format!("{id} got {response:?}"));
                }
            }
            Ok(response) if [408, 421, 429, 503].contains(&response.status) => {
                records.outcome.not_run += 1;
                records.refused.push(id);
            }
            Ok(response) if response.status == 401 => {
                records.outcome.unauthorized += 1;
                if key.as_deref() == Some(LASTING.1) {
                    let text = format!("{id} got {response:?} although its key is known");
                    records.outcome.violations.push(text);
                }
                records.refused.push(id);
            }
            Ok(_) | Err(_) => records.outcome.unknown += 1,
        }
    }
}

fn check_runs(records: &SharedRecords) -> Outcome {
    let mut records = lock(records);
    let mut outcome = std::mem::take(&mut records.outcome);
    for (id, runs) in records.runs.iter().filter(|(_, runs)| **runs > 1) {
        outcome.violations.push(format!("{id} ran {runs} times"));
    }
    for id in records
        .refused
        .iter()
        .filter(|id| records.runs.contains_key(*id))
    {
        outcome
            .violations
            .push(format!("{id} ran although it was refused as not run"));
    }
    outcome
}
