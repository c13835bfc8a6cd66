//! What instances send to each other. Clocks are not shared, so that all times are ages.

use std::fmt;

/// A crash of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Hash of the engine's instance id.
    pub engine: u64,
    /// Parts of the prompts from which the engine was about to generate.
    pub parts: Vec<SuspectPart>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A part of a prompt from which an engine was about to generate when it crashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectPart {
    /// The part.
    pub key: u64,
    /// Number of parts before it in the prompt.
    pub depth: u32,
}

impl SuspectPart {
    /// Returns the parts with some keys, in the order of the prompt.
    pub fn of_prompt(keys: impl IntoIterator<Item = u64>) -> impl Iterator<Item = Self> {
        (0..).zip(keys).map(|(depth, key)| Self { key, depth })
    }
}

/// States that an engine generates from a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SoundReport {
    /// The part.
    pub part: u64,
    /// Time since the engine began to generate, in milliseconds.
    pub age_ms: u64,
}

/// The verdict on a part, as instances send it to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The part.
    pub part: u64,
    /// Number of changes of the verdict. A verdict replaces those with lower numbers.
    pub revision: u64,
    /// Whether requests with the part are refused; false once that was lifted.
    pub is_blocked: bool,
    /// Number of crashes when the part was blocked.
    pub crashes: u32,
    /// Number of trials that have been granted.
    pub trials: u32,
    /// Time since the part was blocked or lifted, in milliseconds.
    pub age_ms: u64,
    /// Time until the next trial, in milliseconds.
    pub retry_in_ms: u64,
}

impl fmt::Display for Verdict {
    /// Formats the verdict as the fields of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "parts={:016x} blocked={} crashes={} trials={} age_ms={} retry_in_ms={}",
            self.part, self.is_blocked, self.crashes, self.trials, self.age_ms, self.retry_in_ms
        )
    }
}

/// What an instance reports to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Crashes of engines.
    pub crashes: Vec<CrashReport>,
    /// Parts from which engines generate.
    pub sound: Vec<SoundReport>,
    /// Blocked parts of requests that were refused.
    pub refused: Vec<u64>,
    /// Version of the verdicts that the sender holds.
    pub version: u64,
    /// All verdicts of the sender, if the receiver may lack some.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Adds the time for which the report has waited to be sent, in milliseconds.
    pub fn add_age(&mut self, waited_ms: u64) {
        let crashes = self.crashes.iter_mut().map(|crash| &mut crash.age_ms);
        let sound = self.sound.iter_mut().map(|sound| &mut sound.age_ms);
        crashes.chain(sound).for_each(|age_ms| *age_ms += waited_ms);
        add_age_of_verdicts(&mut self.verdicts, waited_ms);
    }
}

fn add_age_of_verdicts(verdicts: &mut [Verdict], waited_ms: u64) {
    for verdict in verdicts {
        verdict.age_ms += waited_ms;
        verdict.retry_in_ms = verdict.retry_in_ms.saturating_sub(waited_ms);
    }
}

/// What a replica sends to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Parts of which the receiver is to report whether engines generate from them.
    pub watched: Vec<u64>,
    /// Version of the verdicts that the sender holds.
    pub version: u64,
    /// All verdicts of the sender, if the receiver holds others.
    pub verdicts: Vec<Verdict>,
    /// Blocked parts that the receiver may try with one request each.
    pub trials: Vec<u64>,
}

impl Update {
    /// Adds the time for which the update has waited to be sent, in milliseconds.
    pub fn add_age(&mut self, waited_ms: u64) {
        add_age_of_verdicts(&mut self.verdicts, waited_ms);
    }
}
