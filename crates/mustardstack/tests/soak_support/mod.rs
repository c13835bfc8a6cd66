//! Processes, stand-ins and faults of the soak.

mod http;
mod relay;
mod system;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use system::System;

/// Length of a run in CI, in seconds.
const DEFAULT_SECONDS: u64 = 6;
const CALLERS: usize = 4;

/// A small generator, so that a seed gives the same faults each time.
pub struct Draw(u64);

impl Draw {
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

/// What a run has seen.
#[derive(Debug, Default)]
pub struct Outcome {
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub published: u64,
    pub faults: u64,
    pub broken: Vec<String>,
}

/// What upstreams and callers note down.
#[derive(Debug, Default)]
pub struct Notes {
    /// Runs of each request.
    pub runs: HashMap<String, u32>,
    /// Requests that were refused as not run.
    refused: Vec<String>,
    outcome: Outcome,
}

pub type SharedNotes = Arc<Mutex<Notes>>;

pub fn lock(notes: &SharedNotes) -> MutexGuard<'_, Notes> {
    notes.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the seeds to run.
pub fn seeds() -> Range<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..2".to_owned());
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    let number = |text: &str| text.parse().expect("SOAK_SEEDS holds numbers");
    number(first)..number(end)
}

/// Plays one seed.
pub fn run(seed: u64) -> Outcome {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map_or(DEFAULT_SECONDS, |text| text.parse().expect("seconds"));
    let notes = SharedNotes::default();
    let mut system = System::start(seed, &notes);
    system
        .publish(1)
        .expect("the first configuration is acknowledged");
    system.wait_ready();
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (notes, entries) = (notes.clone(), system.entry_addresses());
            thread::spawn(move || call_until(end, caller, &entries, &notes))
        })
        .collect();
    let published = inject(&mut system, seed, end, &notes);
    for caller in callers {
        caller.join().expect("a caller does not panic");
    }
    system.mend();
    if let Err(reason) = system.check_version(published) {
        lock(&notes).outcome.broken.push(reason);
    }
    drop(system);
    conclude(&notes)
}

/// Injects faults and publishes configurations. Returns the last acknowledged version.
fn inject(system: &mut System, seed: u64, end: Instant, notes: &SharedNotes) -> u64 {
    let mut draw = Draw::new(seed);
    let (mut version, mut acknowledged) = (1, 1);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(50 + draw.below(300)));
        system.fault(&mut draw);
        lock(notes).outcome.faults += 1;
        if draw.below(3) == 0 {
            version += 1 + draw.below(3);
            if system.publish(version).is_ok() {
                acknowledged = version;
                lock(notes).outcome.published += 1;
            }
        }
    }
    acknowledged
}

fn call_until(end: Instant, caller: usize, entries: &[String], notes: &SharedNotes) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{caller:08x}{number:08x}");
        let entry = &entries[number % entries.len()];
        let answer = http::call(
            entry,
            "POST",
            "/once/x",
            &[("Request-Id", &id), ("Deadline-Ms", "800")],
            b"",
        );
        let mut notes = lock(notes);
        match answer {
            Ok(answer) if answer.status == 200 => {
                notes.outcome.answered += 1;
                if answer.body != format!("answer to {id}").as_bytes() {
                    notes.outcome.broken.push(format!("{id} got {answer:?}"));
                }
            }
            Ok(answer) if [408, 421, 429, 503].contains(&answer.status) => {
                notes.outcome.not_run += 1;
                notes.refused.push(id);
            }
            Ok(_) | Err(_) => notes.outcome.unknown += 1,
        }
    }
}

fn conclude(notes: &SharedNotes) -> Outcome {
    let mut notes = lock(notes);
    let mut outcome = std::mem::take(&mut notes.outcome);
    for (id, runs) in notes.runs.iter().filter(|(_, runs)| **runs > 1) {
        outcome.broken.push(format!("{id} ran {runs} times"));
    }
    for id in notes
        .refused
        .iter()
        .filter(|id| notes.runs.contains_key(*id))
    {
        outcome
            .broken
            .push(format!("{id} ran although it was refused as not run"));
    }
    outcome
}
