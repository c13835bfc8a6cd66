//! Request rates that upstreams state in their answers, and the share of each entry.
//!
//! The limit holds for the requests of all entries together. A replica divides it among the entries of the upstream's
//! availability zone; entries of other zones get no share. A limit below one request per second and entry is divided
//! among fewer entries, so that each of them can send whole requests in reasonable time.

use std::hash::BuildHasher;

use conf::{Map, Name};
use fleet::{LimitReport, LimitShare};

/// Time without an answer that states the limit after which the limit may have ended, in milliseconds.
const ENDING_MS: u64 = 1_000;
/// Number of answers without the limit after which it has ended. Single answers may overtake each other.
const ENDING_ANSWERS: u32 = 3;
/// Time after which a limit ends that no answer states any more, since there are no answers, in milliseconds. The entries
/// with a share find out earlier if they have requests for the upstream.
const LIMIT_TTL_MS: u64 = 120_000;
/// Smallest rate that is divided among entries, in requests per second. Without any request, no answer could show that the
/// limit has ended.
const MIN_RATE_PER_S: f64 = 0.05;
/// Time for which a limit that has ended is raised step by step, in milliseconds.
const RAMP_MS: u64 = 5_000;
/// Time for which the rate doubles while the limit is raised, in milliseconds.
const RAMP_DOUBLING_MS: f64 = 1_000.0;
/// Smallest rate of all entries together from which a limit is raised, in requests per second.
const RAMP_MIN_PER_S: f64 = 1.0;
/// Time for which a share is valid without a new message of the replica, in milliseconds. The replica counts an entry for
/// longer.
const SHARE_TTL_MS: u64 = 2_000;
/// Interval at which an unchanged limit is reported again, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Requests that may be sent at once after a pause.
const BURST: f64 = 1.0;
/// Time without an answer from an upstream after which other entries get the shares, in milliseconds: those that have them
/// may have no requests for it.
const ROTATION_MS: u64 = 5_000;
/// Smallest share in requests per second for which an entry is chosen.
const MIN_SHARE_PER_S: f64 = 1.0;
/// Number of entries assumed by an entry that does not know the others.
const MIN_ENTRIES: u32 = 6;

/// Limit of an upstream, as an entry knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimit {
    per_s: f64,
    /// When an answer last stated the limit.
    stated_ms: u64,
    /// When an answer or the replica last confirmed that the limit holds.
    confirmed_ms: u64,
    answers_without: u32,
    ended_ms: Option<u64>,
    /// When the limit was last reported to the replica, and whether it has been stated or has ended since.
    reported_ms: Option<u64>,
    has_news: bool,
    /// Share of this entry in requests per second, and until when it is valid.
    share: Option<(f64, u64)>,
    /// Requests that may be sent, as of `counted_ms`.
    available: f64,
    counted_ms: u64,
}

impl RequestLimit {
    /// Creates a limit that an answer has stated, or that the replica has reported.
    pub fn new(now_ms: u64, per_s: f64) -> Self {
        Self {
            per_s,
            stated_ms: now_ms,
            confirmed_ms: now_ms,
            answers_without: 0,
            ended_ms: None,
            reported_ms: None,
            has_news: true,
            share: None,
            available: 0.0,
            counted_ms: now_ms,
        }
    }

    /// Records an answer that states the limit.
    pub fn on_stated(&mut self, now_ms: u64, per_s: f64, entries: u32) {
        self.count(now_ms, entries);
        if self.per_s != per_s || self.ended_ms.is_some() {
            self.reported_ms = None;
        }
        self.has_news = true;
        self.per_s = per_s;
        self.stated_ms = now_ms;
        self.confirmed_ms = now_ms;
        self.answers_without = 0;
        self.ended_ms = None;
    }

    /// Records an answer that states no limit.
    pub fn on_unstated(&mut self, now_ms: u64) {
        self.answers_without += 1;
        let is_quiet = now_ms >= self.stated_ms + ENDING_MS;
        if is_quiet && self.answers_without >= ENDING_ANSWERS && self.ended_ms.is_none() {
            self.ended_ms = Some(now_ms);
            self.has_news = true;
            self.reported_ms = None;
        }
    }

    /// Records that the limit has ended for another entry, while this one may have got no answers.
    pub fn on_reported_end(&mut self, now_ms: u64) {
        self.ended_ms.get_or_insert(now_ms);
    }

    /// Sets the share of this entry, which also shows that the limit holds.
    pub fn set_share(&mut self, now_ms: u64, share_per_s: f64, entries: u32) {
        self.count(now_ms, entries);
        self.confirmed_ms = now_ms;
        self.share = Some((share_per_s, now_ms + SHARE_TTL_MS));
    }

    /// Returns whether the limit is over.
    pub fn is_over(&self, now_ms: u64) -> bool {
        let ended_ms = self.ended_ms.unwrap_or(self.confirmed_ms + LIMIT_TTL_MS);
        now_ms >= ended_ms + RAMP_MS
    }

    /// Returns whether a report to the replica is due, and records that it is sent.
    pub fn take_report_due(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .reported_ms
            .is_none_or(|reported_ms| now_ms >= reported_ms + REPORT_INTERVAL_MS);
        if !is_due || !self.has_news {
            return false;
        }
        self.has_news = false;
        self.reported_ms = Some(now_ms);
        true
    }

    /// Returns the report to the replica; a limit that has ended is reported as such.
    pub fn report(&self, now_ms: u64, upstream_key: u64) -> LimitReport {
        LimitReport {
            upstream_key,
            per_s: self.ended_ms.is_none().then_some(self.per_s),
            age_ms: now_ms.saturating_sub(self.ended_ms.unwrap_or(self.stated_ms)),
        }
    }

    /// Returns the time until a request may be sent, in milliseconds.
    pub fn wait_ms(&self, now_ms: u64, entries: u32) -> f64 {
        let missing = BURST - self.available_at(now_ms, entries);
        match missing <= 0.0 {
            true => 0.0,
            false => missing / self.rate_per_s(now_ms, entries).max(1e-6) * 1_000.0,
        }
    }

    /// Counts a request that is sent to the upstream.
    pub fn take(&mut self, now_ms: u64, entries: u32) {
        self.count(now_ms, entries);
        self.available -= 1.0;
    }

    /// Returns the requests per second that this entry may send.
    pub fn rate_per_s(&self, now_ms: u64, entries: u32) -> f64 {
        let share_per_s = match self.share {
            Some((share_per_s, until_ms)) if now_ms <= until_ms => share_per_s,
            _ => self.per_s / f64::from(entries.max(MIN_ENTRIES)),
        };
        let ended_ms = self.ended_ms.unwrap_or(self.confirmed_ms + LIMIT_TTL_MS);
        if now_ms < ended_ms {
            return share_per_s;
        }
        let doublings = (now_ms - ended_ms) as f64 / RAMP_DOUBLING_MS;
        let equal_part_per_s = self.per_s.max(RAMP_MIN_PER_S) / f64::from(entries.max(MIN_ENTRIES));
        share_per_s.max(equal_part_per_s) * 2.0_f64.powf(doublings)
    }

    fn available_at(&self, now_ms: u64, entries: u32) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.counted_ms) as f64 / 1_000.0;
        (self.available + elapsed_s * self.rate_per_s(now_ms, entries)).min(BURST)
    }

    fn count(&mut self, now_ms: u64, entries: u32) {
        self.available = self.available_at(now_ms, entries);
        self.counted_ms = now_ms;
    }
}

#[derive(Clone, Copy, Debug)]
struct ReportedLimit {
    /// Requests per second; none once the limit has ended.
    per_s: Option<f64>,
    at_ms: u64,
}

/// Limits that the entries of a replica have reported.
#[derive(Clone, Debug, Default)]
pub struct ReportedLimits {
    by_upstream: Map<u64, ReportedLimit>,
}

impl ReportedLimits {
    /// Records a report. The latest statement of an upstream counts.
    pub fn on_report(&mut self, now_ms: u64, report: &LimitReport) {
        let at_ms = now_ms.saturating_sub(report.age_ms);
        let known = self.by_upstream.get(&report.upstream_key);
        if known.is_none_or(|known| at_ms > known.at_ms) {
            let per_s = report.per_s;
            self.by_upstream
                .insert(report.upstream_key, ReportedLimit { per_s, at_ms });
        }
    }

    /// Returns whether no limits are known.
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }

    /// Removes limits that are no longer reported.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_upstream
            .retain(|_, limit| now_ms < limit.at_ms + LIMIT_TTL_MS + RAMP_MS);
    }

    /// Returns the shares of an entry. `upstream_zone` returns the availability zone of an upstream by its key, `entries`
    /// are the entries of the receiver's zone.
    pub fn shares<'a>(
        &self,
        now_ms: u64,
        entry: &Name,
        zone: &Name,
        entries: &[&Name],
        upstream_zone: impl Fn(u64) -> Option<&'a Name>,
    ) -> Vec<LimitShare> {
        let limits = self.by_upstream.iter();
        limits
            .filter_map(|(key, limit)| {
                let per_s = limit.per_s.filter(|_| now_ms < limit.at_ms + LIMIT_TTL_MS);
                let share_per_s = match per_s {
                    Some(per_s) if upstream_zone(*key)? == zone => {
                        let turn = now_ms.saturating_sub(limit.at_ms) / ROTATION_MS;
                        share_per_s(entry, entries, (*key, turn), per_s)
                    }
                    _ => 0.0,
                };
                Some(LimitShare {
                    upstream_key: *key,
                    per_s,
                    share_per_s,
                })
            })
            .collect()
    }
}

/// Returns the share of an entry: an equal part for as many entries as can send a request per second each, chosen by a
/// hash of the upstream and the turn.
fn share_per_s(entry: &Name, entries: &[&Name], turn: (u64, u64), per_s: f64) -> f64 {
    let per_s = per_s.max(MIN_RATE_PER_S);
    let users = ((per_s / MIN_SHARE_PER_S) as usize).clamp(1, entries.len().max(1));
    let hasher = foldhash::fast::FixedState::default();
    let hash = |id: &Name| hasher.hash_one((id, turn));
    let own = hash(entry);
    let rank = entries.iter().filter(|other| hash(other) < own).count();
    match rank < users {
        true => per_s / users as f64,
        false => 0.0,
    }
}
