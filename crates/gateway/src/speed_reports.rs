//! What entries have observed of the speed of upstreams, passed on by a replica.

use std::collections::VecDeque;

use conf::Name;
use fleet::SpeedReport;

/// Reports kept for subscribers that have not received them yet. A subscriber that lags further behind misses some.
const MAX_RECENT: usize = 512;
/// Reports in a reply; older ones are left out. They take 16 bytes each.
const MAX_IN_REPLY: usize = 64;
/// Age from which a report is not passed on, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;

/// Recent reports of entries, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub struct RecentSpeeds {
    reports: VecDeque<Received>,
    /// Number of the next report.
    next: u64,
}

#[derive(Clone, Debug)]
struct Received {
    from: Name,
    received_ms: u64,
    report: SpeedReport,
}

impl RecentSpeeds {
    /// Returns the number of the next report.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Records the reports of an entry.
    pub fn push(&mut self, now_ms: u64, from: &Name, reports: Vec<SpeedReport>) {
        for report in reports {
            self.reports.push_back(Received {
                from: from.clone(),
                received_ms: now_ms,
                report,
            });
            self.next += 1;
            if self.reports.len() > MAX_RECENT {
                self.reports.pop_front();
            }
        }
    }

    /// Returns the reports from number `first` on that a subscriber has not sent itself, in the order of their arrival,
    /// as many of the latest as fit into a reply.
    pub fn unknown_to(&self, now_ms: u64, subscriber: &Name, first: u64) -> Vec<SpeedReport> {
        let oldest = self.next - self.reports.len() as u64;
        let skipped = first.saturating_sub(oldest).min(self.reports.len() as u64);
        let mut unknown: Vec<SpeedReport> = self
            .reports
            .range(skipped as usize..)
            .rev()
            .filter(|received| received.from != *subscriber)
            .filter_map(|received| received.passed_on(now_ms))
            .take(MAX_IN_REPLY)
            .collect();
        unknown.reverse();
        unknown
    }
}

impl Received {
    /// Returns the report with its present age, unless it is too old.
    fn passed_on(&self, now_ms: u64) -> Option<SpeedReport> {
        let held_ms = now_ms.saturating_sub(self.received_ms);
        let age_ms = u64::from(self.report.age_ms) + held_ms;
        (age_ms <= MAX_AGE_MS).then_some(SpeedReport {
            age_ms: age_ms as u16,
            ..self.report
        })
    }
}
