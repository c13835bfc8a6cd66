//! A replica's side: it collects the reports of its entries and of the other replicas, and decides.

use crate::evidence::{Condemned, Evidence};
use crate::message::{Report, Update, Verdict};
use crate::reports::Reports;
use crate::verdicts::Verdicts;

/// Time for which a report of an entry is passed on to the other replicas, in milliseconds: a few messages, of which some
/// may be lost.
const PASS_ON_MS: u64 = 2_000;
/// Watched parts that are sent to entries.
const MAX_WATCHED: usize = 128;

/// The evidence and the verdicts of a replica.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    evidence: Evidence,
    verdicts: Verdicts,
    passed_on: Reports,
}

impl Collector {
    /// Returns the verdicts.
    pub fn verdicts(&self) -> &Verdicts {
        &self.verdicts
    }

    /// Records a report, which is passed on to the other replicas if it comes from the instance that has observed what it
    /// reports. Returns the verdicts that were taken over or lifted.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        received: &Report,
        is_first_hand: bool,
    ) -> Vec<Verdict> {
        let mut changed = self.verdicts.merge(now_ms, &received.verdicts);
        for report in &received.crashes {
            let parts = report.parts.iter().map(|part| part.key);
            match self.verdicts.blocked_part(parts) {
                Some(_) => self.evidence.explain_crash(now_ms, report),
                None => self.evidence.on_crash(now_ms, report),
            }
            if is_first_hand {
                let at_ms = now_ms.saturating_sub(report.age_ms);
                self.passed_on
                    .add_crash(report.engine, at_ms, &report.parts, now_ms + PASS_ON_MS);
            }
        }
        for report in &received.sound {
            let began_ms = now_ms.saturating_sub(report.age_ms);
            self.evidence.on_sound(now_ms, report);
            let since_ms = self.verdicts.blocked_since_ms(report.part);
            if since_ms.is_some_and(|since_ms| began_ms > since_ms) {
                changed.extend(self.lift(now_ms, report.part));
            }
            if is_first_hand {
                self.passed_on
                    .add_sound(report.part, began_ms, now_ms + PASS_ON_MS);
            }
        }
        changed
    }

    /// Returns whether there are reports to pass on to the other replicas.
    pub fn has_report(&self) -> bool {
        !self.passed_on.is_empty()
    }

    /// Returns the report to the other replicas. They get the verdicts with the replies to their own messages.
    pub fn report(&mut self, now_ms: u64) -> Report {
        Report {
            crashes: self.passed_on.crashes(now_ms),
            sound: self.passed_on.sound(now_ms),
            version: self.verdicts.version(),
            ..Report::default()
        }
    }

    /// Returns what an instance lacks that holds `version` of the verdicts.
    pub fn update(&self, now_ms: u64, version: u64) -> Update {
        let mut watched = self.evidence.watched();
        watched.truncate(MAX_WATCHED);
        let own_version = self.verdicts.version();
        Update {
            watched,
            version: own_version,
            verdicts: match version == own_version {
                true => Vec::new(),
                false => self.verdicts.export(now_ms),
            },
            trials: Vec::new(),
        }
    }

    /// Blocks the parts against which there is enough evidence, and returns them.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Condemned> {
        self.verdicts.expire(now_ms);
        let mut condemned = self.evidence.take_condemned(now_ms);
        condemned.retain(|condemned| {
            self.verdicts
                .block(now_ms, condemned.part, condemned.crashes)
        });
        condemned
    }

    /// Takes over newer verdicts of another replica. Returns those that were taken over.
    pub fn merge(&mut self, now_ms: u64, verdicts: &[Verdict]) -> Vec<Verdict> {
        self.verdicts.merge(now_ms, verdicts)
    }

    /// Lifts the block of a part. Returns the new verdict, or none if the part is not blocked.
    pub fn lift(&mut self, now_ms: u64, part: u64) -> Option<Verdict> {
        let is_lifted = self.verdicts.lift(now_ms, part);
        let verdicts = self.verdicts.export(now_ms);
        verdicts
            .into_iter()
            .find(|verdict| is_lifted && verdict.part == part)
    }

    /// Returns those of the parts that an entry has refused which it may now try with one request each.
    pub fn take_trials(&mut self, now_ms: u64, refused: &[u64]) -> Vec<u64> {
        let due = refused.iter().copied();
        due.filter(|part| self.verdicts.take_trial(now_ms, *part))
            .collect()
    }
}
