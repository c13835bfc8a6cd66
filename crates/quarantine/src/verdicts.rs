//! The blocked parts, as every instance holds them. Copies are merged in any order and lead to the same result.

use std::hash::BuildHasher;

use conf::Map;

use crate::message::Verdict;

/// Pause before a blocked part is tried for the first time, in milliseconds.
const FIRST_PAUSE_MS: u64 = 60_000;
/// Factor on the pause after each crash in a trial.
const PAUSE_FACTOR: u64 = 4;
/// Longest pause before the next trial, in milliseconds.
const MAX_PAUSE_MS: u64 = 6 * 3_600_000;
/// Time for which a verdict is kept after its last change, in milliseconds.
const VERDICT_TTL_MS: u64 = 24 * 3_600_000;
/// Parts that are held. Beyond this number, those under which the fewest trials have failed are dropped.
const MAX_VERDICTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Held {
    revision: u64,
    is_blocked: bool,
    crashes: u32,
    trials: u32,
    since_ms: u64,
    retry_at_ms: u64,
}

impl Held {
    fn new(now_ms: u64, verdict: &Verdict) -> Self {
        Self {
            revision: verdict.revision,
            is_blocked: verdict.is_blocked,
            crashes: verdict.crashes,
            trials: verdict.trials,
            since_ms: now_ms.saturating_sub(verdict.age_ms),
            retry_at_ms: now_ms.saturating_add(verdict.retry_in_ms),
        }
    }
}

/// The verdicts that an instance holds.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    by_part: Map<u64, Held>,
}

impl Verdicts {
    /// Returns the first of some parts that is blocked.
    pub fn blocked_part(&self, parts: impl IntoIterator<Item = u64>) -> Option<u64> {
        if self.by_part.is_empty() {
            return None;
        }
        parts.into_iter().find(|part| self.is_blocked(*part))
    }

    /// Returns whether a part is blocked.
    pub fn is_blocked(&self, part: u64) -> bool {
        self.by_part.get(&part).is_some_and(|held| held.is_blocked)
    }

    /// Returns the number of blocked parts.
    pub fn blocked_count(&self) -> usize {
        self.by_part.values().filter(|held| held.is_blocked).count()
    }

    /// Returns the time until a blocked part is tried again, in milliseconds.
    pub fn retry_in_ms(&self, now_ms: u64, part: u64) -> u64 {
        let held = self.by_part.get(&part);
        held.map_or(0, |held| held.retry_at_ms.saturating_sub(now_ms))
    }

    /// Returns a number that is equal for copies that hold the same verdicts; 0 if there are none.
    pub fn version(&self) -> u64 {
        let hasher = foldhash::fast::FixedState::default();
        let hashes = self
            .by_part
            .iter()
            .map(|(part, held)| hasher.hash_one((part, held.revision, held.is_blocked)));
        hashes.fold(0, u64::wrapping_add)
    }

    /// Blocks a part. Returns false if it is blocked already.
    pub fn block(&mut self, now_ms: u64, part: u64, crashes: u32) -> bool {
        if self.is_blocked(part) {
            return false;
        }
        let revision = self.by_part.get(&part).map_or(0, |held| held.revision) + 1;
        let held = Held {
            revision,
            is_blocked: true,
            crashes,
            trials: 0,
            since_ms: now_ms,
            retry_at_ms: now_ms + FIRST_PAUSE_MS,
        };
        self.by_part.insert(part, held);
        self.shrink();
        true
    }

    /// Lifts the block of a part. Returns false if it is not blocked.
    pub fn lift(&mut self, now_ms: u64, part: u64) -> bool {
        let held = self.by_part.get_mut(&part).filter(|held| held.is_blocked);
        let Some(held) = held else {
            return false;
        };
        held.revision += 1;
        held.is_blocked = false;
        held.since_ms = now_ms;
        true
    }

    /// Returns whether a part is blocked and due for a trial. If so, sets the time of the next trial as if this one failed:
    /// a trial that is granted twice would cost a second engine.
    pub fn take_trial(&mut self, now_ms: u64, part: u64) -> bool {
        let held = self.by_part.get_mut(&part);
        let due = held.filter(|held| held.is_blocked && now_ms >= held.retry_at_ms);
        let Some(held) = due else {
            return false;
        };
        held.revision += 1;
        held.trials += 1;
        held.retry_at_ms = now_ms + pause_ms(held.trials);
        true
    }

    /// Returns when a part was blocked, or none if it is not blocked.
    pub fn blocked_since_ms(&self, part: u64) -> Option<u64> {
        let held = self.by_part.get(&part).filter(|held| held.is_blocked);
        held.map(|held| held.since_ms)
    }

    /// Returns all verdicts.
    pub fn export(&self, now_ms: u64) -> Vec<Verdict> {
        let verdicts = self.by_part.iter().map(|(part, held)| Verdict {
            part: *part,
            revision: held.revision,
            is_blocked: held.is_blocked,
            crashes: held.crashes,
            trials: held.trials,
            age_ms: now_ms.saturating_sub(held.since_ms),
            retry_in_ms: held.retry_at_ms.saturating_sub(now_ms),
        });
        verdicts.collect()
    }

    /// Takes over the verdicts of another instance that are newer. Returns those that were taken over.
    pub fn merge(&mut self, now_ms: u64, verdicts: &[Verdict]) -> Vec<Verdict> {
        let mut newer = Vec::new();
        for verdict in verdicts {
            // A verdict that is about to expire here would otherwise come back from an instance that still holds it.
            if verdict.age_ms >= VERDICT_TTL_MS {
                continue;
            }
            let known = self.by_part.get(&verdict.part);
            let is_newer = known.is_none_or(|held| {
                (verdict.revision, verdict.is_blocked) > (held.revision, held.is_blocked)
            });
            if is_newer {
                self.by_part
                    .insert(verdict.part, Held::new(now_ms, verdict));
                newer.push(*verdict);
            }
        }
        self.shrink();
        newer
    }

    /// Drops verdicts that have not changed for a long time.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_part.retain(|_, held| {
            let changed_ms = held.since_ms.max(match held.is_blocked {
                true => held.retry_at_ms.min(now_ms),
                false => 0,
            });
            now_ms.saturating_sub(changed_ms) < VERDICT_TTL_MS
        });
    }

    /// Drops the verdicts beyond the limit. The order depends only on the verdicts, so that all copies drop the same.
    fn shrink(&mut self) {
        while self.by_part.len() > MAX_VERDICTS {
            let weakest = self
                .by_part
                .iter()
                .min_by_key(|(part, held)| (held.is_blocked, held.trials, held.revision, **part));
            let Some((part, _)) = weakest else {
                return;
            };
            let part = *part;
            self.by_part.remove(&part);
        }
    }
}

/// Returns the pause after a trial, in milliseconds.
fn pause_ms(trials: u32) -> u64 {
    let factor = PAUSE_FACTOR.saturating_pow(trials);
    FIRST_PAUSE_MS.saturating_mul(factor).min(MAX_PAUSE_MS)
}
