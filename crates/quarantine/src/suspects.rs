//! What an instance that sends requests to engines observes of crashes, and which requests it refuses.

use conf::{Map, Set};

use crate::message::{Report, SuspectPart, Update, Verdict};
use crate::reports::Reports;
use crate::verdicts::Verdicts;

/// Time from the first event for which an answer is at its start, in milliseconds. A crash during this time may have
/// been caused by the request.
const START_MS: u64 = 60;
/// Time for which broken calls belong to the same crash of an engine, in milliseconds.
const SAME_CRASH_MS: u64 = 1_500;
/// Time for which a report is sent again, in milliseconds: several messages, of which some may be lost.
const SEND_AGAIN_MS: u64 = 1_000;
/// Time for which an instance may send the one request of a trial, in milliseconds.
const TRIAL_TTL_MS: u64 = 30_000;
/// Blocked parts of refused requests that are reported at a time.
const MAX_REFUSED: usize = 16;

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No part is blocked.
    Free,
    /// A part is blocked, but this request may try it. It must not be sent a second time.
    Trial {
        /// The blocked part.
        part: u64,
    },
    /// A part is blocked.
    Blocked {
        /// The blocked part.
        part: u64,
        /// Time until the part is tried again, in milliseconds.
        retry_in_ms: u64,
    },
}

#[derive(Clone, Debug)]
enum Check {
    /// Whether the engine has crashed is being checked.
    Asked { at_ms: u64, parts: Vec<SuspectPart> },
    /// The engine has crashed.
    Crashed { at_ms: u64 },
}

impl Check {
    fn at_ms(&self) -> u64 {
        match self {
            Self::Asked { at_ms, .. } | Self::Crashed { at_ms } => *at_ms,
        }
    }
}

/// The suspected and blocked parts, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    verdicts: Verdicts,
    watched: Set<u64>,
    checks: Map<u64, Check>,
    reports: Reports,
    /// Blocked parts of requests that were refused since the last report.
    refused: Set<u64>,
    /// Until when the instance may send the request of a trial, by part.
    trials: Map<u64, u64>,
    /// Version of the verdicts that the replica holds.
    collected_version: u64,
}

impl Suspects {
    /// Returns the verdicts.
    pub fn verdicts(&self) -> &Verdicts {
        &self.verdicts
    }

    /// Decides whether a request may be sent to an engine. A trial is granted only once.
    pub fn admit(&mut self, now_ms: u64, parts: impl IntoIterator<Item = u64>) -> Admission {
        let Some(part) = self.verdicts.blocked_part(parts) else {
            return Admission::Free;
        };
        let trial_until_ms = self.trials.remove(&part);
        if trial_until_ms.is_some_and(|until_ms| now_ms <= until_ms) {
            return Admission::Trial { part };
        }
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(part);
        }
        Admission::Blocked {
            part,
            retry_in_ms: self.verdicts.retry_in_ms(now_ms, part),
        }
    }

    /// Records a broken call, if the answer had not begun or had begun at `began_ms` just before. Returns whether it is
    /// to be checked that the engine has crashed: that it refuses connections.
    pub fn on_broken(
        &mut self,
        now_ms: u64,
        engine: u64,
        parts: impl IntoIterator<Item = u64>,
        began_ms: Option<u64>,
    ) -> bool {
        if began_ms.is_some_and(|began_ms| now_ms >= began_ms + START_MS) {
            return false;
        }
        self.checks
            .retain(|_, check| now_ms < check.at_ms() + SAME_CRASH_MS);
        let suspects: Vec<SuspectPart> = SuspectPart::of_prompt(parts).collect();
        match self.checks.get_mut(&engine) {
            Some(Check::Asked { parts, .. }) => {
                parts.extend(suspects);
                false
            }
            Some(Check::Crashed { at_ms }) => {
                let at_ms = *at_ms;
                self.reports
                    .add_crash(engine, at_ms, &suspects, now_ms + SEND_AGAIN_MS);
                false
            }
            None => {
                let check = Check::Asked {
                    at_ms: now_ms,
                    parts: suspects,
                };
                self.checks.insert(engine, check);
                true
            }
        }
    }

    /// Records whether an engine has crashed. Returns the number of suspected parts if it has.
    pub fn on_checked(&mut self, now_ms: u64, engine: u64, has_crashed: bool) -> Option<usize> {
        let Some(Check::Asked { at_ms, parts }) = self.checks.remove(&engine) else {
            return None;
        };
        if !has_crashed {
            return None;
        }
        self.reports
            .add_crash(engine, at_ms, &parts, now_ms + SEND_AGAIN_MS);
        self.checks.insert(engine, Check::Crashed { at_ms });
        let distinct: Set<u64> = parts.iter().map(|part| part.key).collect();
        Some(distinct.len())
    }

    /// Returns whether it matters that engines generate from any part.
    pub fn needs_sound_reports(&self) -> bool {
        !self.watched.is_empty() || self.verdicts.blocked_count() > 0
    }

    /// Records that an engine began to generate from a prompt at `began_ms`, and that the answer is complete or beyond
    /// its start.
    pub fn on_generating(
        &mut self,
        now_ms: u64,
        parts: impl IntoIterator<Item = u64>,
        began_ms: u64,
        is_complete: bool,
    ) {
        if !is_complete && now_ms < began_ms + START_MS {
            return;
        }
        for part in parts {
            if self.watched.contains(&part) || self.verdicts.is_blocked(part) {
                self.reports
                    .add_sound(part, began_ms, now_ms + SEND_AGAIN_MS);
            }
        }
    }

    /// Returns the report that is due.
    pub fn report(&mut self, now_ms: u64) -> Report {
        self.verdicts.expire(now_ms);
        let version = self.verdicts.version();
        Report {
            crashes: self.reports.crashes(now_ms),
            sound: self.reports.sound(now_ms),
            refused: self.refused.drain().collect(),
            version,
            verdicts: match version == self.collected_version {
                true => Vec::new(),
                // A replica that has restarted holds none.
                false => self.verdicts.export(now_ms),
            },
        }
    }

    /// Applies what the replica has sent. Returns the verdicts that have changed.
    pub fn on_update(&mut self, now_ms: u64, update: &Update) -> Vec<Verdict> {
        self.watched = update.watched.iter().copied().collect();
        self.collected_version = update.version;
        let trials = update.trials.iter();
        self.trials
            .extend(trials.map(|part| (*part, now_ms + TRIAL_TTL_MS)));
        self.verdicts.merge(now_ms, &update.verdicts)
    }
}
