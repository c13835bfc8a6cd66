//! The evidence against parts of prompts, collected from the reports of many instances.

use conf::Map;

use crate::message::{CrashReport, SoundReport};

/// Separate crashes after which a part is blocked. Engines also crash for other reasons, and a part stands in a crash
/// by chance if requests with the part are frequent.
const MIN_CRASHES: usize = 3;
/// Separate crashes beyond the needed ones for which a part may wait that another one explains.
const UNDECIDED_CRASHES: usize = 2;
/// Crashes that a part may have besides those of another one that explains them.
const MAX_UNEXPLAINED_CRASHES: usize = 1;
/// Separate crashes by which more are needed for each time that the part was cleared: parts that are in use stand in many
/// crashes by chance.
const CRASHES_PER_CLEARANCE: usize = 2;
/// Separate crashes after which instances report whether engines generate from a part.
const WATCHED_CRASHES: usize = 2;
/// Least time for which a part is watched before it is blocked, in milliseconds: the time in which reports arrive that
/// engines generate from the part.
const MIN_WATCH_MS: u64 = 1_000;
/// Time within which crashes count as one, in milliseconds. Engines that lose power together crash at the same time,
/// whatever they generate.
const SAME_CRASH_MS: u64 = 50;
/// Time after which a crash counts, in milliseconds. Until then, reports arrive that engines have generated from a part
/// since the crashes before.
const SETTLING_MS: u64 = 500;
/// Time for which a crash counts against a part, in milliseconds.
const EVIDENCE_TTL_MS: u64 = 600_000;
/// Time within which reports with the same engine are about the same crash, in milliseconds. An engine takes longer to
/// start again.
pub const SAME_ENGINE_MS: u64 = 1_500;
/// Crashes that are kept for each part.
const MAX_CRASHES: usize = 16;
/// Parts for which evidence is kept.
const MAX_PARTS: usize = 4_096;

/// A part that is to be blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Condemned {
    /// The part.
    pub part: u64,
    /// Number of separate crashes.
    pub crashes: u32,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    engine: u64,
    at_ms: u64,
}

impl Crash {
    /// Returns whether two reports are about the same crash.
    fn is_same(&self, other: &Self) -> bool {
        self.engine == other.engine && self.at_ms.abs_diff(other.at_ms) < SAME_ENGINE_MS
    }
}

#[derive(Clone, Debug, Default)]
struct PartEvidence {
    /// Crashes since an engine last began to generate from the part, oldest first.
    crashes: Vec<Crash>,
    /// When an engine last began to generate from the part, as far as that was reported.
    sound_ms: Option<u64>,
    /// How often crashes have turned out to have another cause.
    clearances: usize,
    watched_since_ms: Option<u64>,
    /// Largest number of parts before this one in a prompt.
    depth: u32,
}

impl PartEvidence {
    /// Returns the number of crashes until a time, where those at about the same time count as one.
    fn separate_crashes(&self, until_ms: u64) -> usize {
        let mut count = 0;
        let mut last_ms = None;
        for crash in self
            .crashes
            .iter()
            .take_while(|crash| crash.at_ms <= until_ms)
        {
            if last_ms.is_none_or(|last_ms| crash.at_ms >= last_ms + SAME_CRASH_MS) {
                count += 1;
                last_ms = Some(crash.at_ms);
            }
        }
        count
    }

    fn last_crash_ms(&self) -> u64 {
        self.crashes.last().map_or(0, |crash| crash.at_ms)
    }

    fn add(&mut self, crash: Crash) {
        if self.sound_ms.is_some_and(|at_ms| crash.at_ms <= at_ms) {
            return;
        }
        let known = self.crashes.iter_mut().find(|known| known.is_same(&crash));
        match known {
            Some(known) => known.at_ms = known.at_ms.min(crash.at_ms),
            None => self.crashes.push(crash),
        }
        self.crashes.sort_unstable_by_key(|crash| crash.at_ms);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    fn update_watch(&mut self, now_ms: u64) {
        match self.separate_crashes(now_ms) >= WATCHED_CRASHES {
            true => {
                self.watched_since_ms.get_or_insert(now_ms);
            }
            false => self.watched_since_ms = None,
        }
    }

    fn is_due(&self, now_ms: u64) -> bool {
        let is_watched_long = self
            .watched_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + MIN_WATCH_MS);
        let needed = MIN_CRASHES + self.clearances * CRASHES_PER_CLEARANCE;
        let counted = self.separate_crashes(now_ms.saturating_sub(SETTLING_MS));
        is_watched_long && counted >= needed.min(MAX_CRASHES)
    }
}

/// The evidence that one replica has received.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    parts: Map<u64, PartEvidence>,
}

impl Evidence {
    /// Records a crash. The report may arrive several times, and from several instances.
    pub fn on_crash(&mut self, now_ms: u64, report: &CrashReport) {
        let crash = Crash {
            engine: report.engine,
            at_ms: now_ms.saturating_sub(report.age_ms),
        };
        for part in &report.parts {
            let evidence = self.parts.entry(part.key).or_default();
            evidence.depth = evidence.depth.max(part.depth);
            evidence.add(crash);
            evidence.update_watch(now_ms);
        }
        self.shrink();
    }

    /// Records that an engine generates from a part: crashes before it began had another cause.
    pub fn on_sound(&mut self, now_ms: u64, report: &SoundReport) {
        let Some(evidence) = self.parts.get_mut(&report.part) else {
            return;
        };
        let began_ms = now_ms.saturating_sub(report.age_ms);
        evidence.sound_ms = evidence.sound_ms.max(Some(began_ms));
        let crashes = evidence.crashes.len();
        evidence.crashes.retain(|crash| crash.at_ms > began_ms);
        evidence.clearances += usize::from(evidence.crashes.len() < crashes);
        evidence.update_watch(now_ms);
    }

    /// Returns the parts of which instances are to report whether engines generate from them.
    pub fn watched(&self) -> Vec<u64> {
        let watched = self
            .parts
            .iter()
            .filter(|(_, evidence)| evidence.watched_since_ms.is_some());
        watched.map(|(part, _)| *part).collect()
    }

    /// Removes the parts that are to be blocked, and returns them.
    ///
    /// Parts that stand in the same crashes are decided from the end of the prompts: many prompts share their first parts,
    /// and a part that stands behind a deadly one is a different one in each prompt.
    pub fn take_condemned(&mut self, now_ms: u64) -> Vec<Condemned> {
        self.expire(now_ms);
        let mut condemned = Vec::new();
        loop {
            let due = self
                .parts
                .iter()
                .filter(|(_, evidence)| evidence.is_due(now_ms))
                .filter(|(_, evidence)| !self.is_explained_further_back(evidence, now_ms))
                .max_by_key(|(part, evidence)| (evidence.depth, evidence.crashes.len(), **part));
            let Some((part, _)) = due else {
                return condemned;
            };
            let part = *part;
            if let Some(evidence) = self.parts.remove(&part) {
                condemned.push(Condemned {
                    part,
                    crashes: evidence.separate_crashes(now_ms) as u32,
                });
                self.explain(now_ms, &evidence.crashes);
            }
        }
    }

    /// Returns whether a watched part further back in the prompts stands in almost all of the crashes, so that it is the
    /// more likely cause.
    fn is_explained_further_back(&self, evidence: &PartEvidence, now_ms: u64) -> bool {
        if evidence.separate_crashes(now_ms) >= MIN_CRASHES + UNDECIDED_CRASHES {
            return false;
        }
        self.parts.values().any(|other| {
            let unexplained = evidence
                .crashes
                .iter()
                .filter(|crash| !other.crashes.iter().any(|known| known.is_same(crash)));
            other.depth > evidence.depth
                && other.watched_since_ms.is_some()
                && unexplained.count() <= MAX_UNEXPLAINED_CRASHES
        })
    }

    fn expire(&mut self, now_ms: u64) {
        self.parts.retain(|_, evidence| {
            evidence
                .crashes
                .retain(|crash| now_ms.saturating_sub(crash.at_ms) < EVIDENCE_TTL_MS);
            let is_cleared = evidence
                .sound_ms
                .is_some_and(|at_ms| now_ms < at_ms + EVIDENCE_TTL_MS);
            is_cleared || !evidence.crashes.is_empty()
        });
    }

    /// Removes crashes whose cause is known from the evidence against all parts.
    pub fn explain_crash(&mut self, now_ms: u64, report: &CrashReport) {
        let crash = Crash {
            engine: report.engine,
            at_ms: now_ms.saturating_sub(report.age_ms),
        };
        self.explain(now_ms, &[crash]);
    }

    fn explain(&mut self, now_ms: u64, explained: &[Crash]) {
        for evidence in self.parts.values_mut() {
            evidence
                .crashes
                .retain(|crash| !explained.iter().any(|other| other.is_same(crash)));
            evidence.update_watch(now_ms);
        }
    }

    /// Evicts the parts with the fewest crashes, so that new parts cannot push out those that are suspected most.
    fn shrink(&mut self) {
        while self.parts.len() > MAX_PARTS {
            let weakest = self
                .parts
                .iter()
                .min_by_key(|(_, evidence)| (evidence.crashes.len(), evidence.last_crash_ms()));
            let Some((part, _)) = weakest else {
                return;
            };
            let part = *part;
            self.parts.remove(&part);
        }
    }
}
