//! Requests that upstreams have begun to run, counted by window and client account, and their way from the entries to the
//! leader.
//!
//! Each entry process counts under a random number of its own. Counts only increase, so that lost, repeated and reordered
//! messages do no harm: a receiver keeps the highest count.

use std::collections::BTreeMap;

use conf::{Map, Name, Set};
use fleet::UsageCount;

use crate::wall_clock::WallClock;

/// Number of windows before the present one whose counts are kept, for a receiver that was lost or could not be reached.
pub const RETAINED_WINDOWS: u64 = 12;
/// Largest number of counts that are kept; the oldest windows are given up first. Each takes about 80 bytes.
const MAX_COUNTS: usize = 200_000;
/// Largest number of counts in a message. Each takes about 40 bytes.
const MAX_SENT_COUNTS: usize = 1_024;

/// Settings of the reports of usage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window by which its report is due, in milliseconds.
    pub due_ms: u64,
}

impl UsageSettings {
    /// Returns the number of the window at a time, in milliseconds since the Unix epoch.
    pub fn window(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms.max(1)
    }

    /// Returns the end of a window, in milliseconds since the Unix epoch.
    pub fn end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }
}

/// A count, and how much of it the receiver has.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    count: u32,
    acknowledged: u32,
}

/// A window whose counts are no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredWindow {
    /// Number of the window.
    pub window: u64,
    /// Requests that were counted.
    pub requests: u64,
    /// Those of them that the receiver lacks.
    pub unacknowledged: u64,
}

/// Counts of one window.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    /// Counts by process and account.
    tallies: Map<(u64, Name), Tally>,
    /// Processes that have counted.
    sources: Set<u64>,
}

impl WindowCounts {
    fn unacknowledged_requests(&self) -> u64 {
        self.tallies
            .values()
            .map(|tally| u64::from(tally.count - tally.acknowledged.min(tally.count)))
            .sum()
    }
}

/// Counts of one instance, and what its receiver has of them. Entries send their counts to the replica to which they
/// subscribe, replicas to the leader.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    windows: BTreeMap<u64, WindowCounts>,
    counts: usize,
    /// Receiver of the last message and its term; entries use term 0.
    receiver: Option<(Name, u64)>,
    /// Counts in the last message, and the number of the message.
    unacknowledged: Option<(u64, Vec<UsageCount>)>,
}

impl UsageTable {
    /// Counts a request.
    pub fn add(&mut self, source: u64, window: u64, account: &Name) {
        let tally = self.tally(source, window, account);
        tally.count += 1;
    }

    /// Takes over a count of another instance.
    pub fn merge(&mut self, usage: &UsageCount) {
        let tally = self.tally(usage.source, usage.window, &usage.account);
        tally.count = tally.count.max(usage.count);
    }

    fn tally(&mut self, source: u64, window: u64, account: &Name) -> &mut Tally {
        let counts = self.windows.entry(window).or_default();
        counts.sources.insert(source);
        let before = counts.tallies.len();
        let key = (source, account.clone());
        counts.tallies.entry(key.clone()).or_default();
        self.counts += counts.tallies.len() - before;
        counts.tallies.entry(key).or_default()
    }

    /// Forgets the windows that are no longer kept, given the present one. Returns each with the number of its requests and of
    /// those that the receiver lacks.
    pub fn expire(&mut self, present_window: u64) -> Vec<ExpiredWindow> {
        let oldest = present_window.saturating_sub(RETAINED_WINDOWS);
        let mut expired = Vec::new();
        while let Some(first) = self.windows.first_entry()
            && (*first.key() < oldest || self.counts > MAX_COUNTS)
        {
            let window = *first.key();
            let counts = first.remove();
            self.counts -= counts.tallies.len();
            expired.push(ExpiredWindow {
                window,
                requests: counts
                    .tallies
                    .values()
                    .map(|tally| u64::from(tally.count))
                    .sum(),
                unacknowledged: counts.unacknowledged_requests(),
            });
        }
        expired
    }

    /// Returns what the receiver lacks of the windows before `end_window`, oldest first. A receiver other than the last one
    /// lacks everything.
    pub fn take_unacknowledged(
        &mut self,
        receiver: &Name,
        term: u64,
        sequence: u64,
        end_window: u64,
    ) -> Vec<UsageCount> {
        let is_same = matches!(&self.receiver, Some((name, of)) if name == receiver && *of == term);
        if !is_same {
            self.receiver = Some((receiver.clone(), term));
            self.forget_acknowledgements(..);
        }
        let windows = self.windows.range(..end_window);
        let lacking = windows.flat_map(|(window, counts)| {
            counts
                .tallies
                .iter()
                .filter(|(_, tally)| tally.count > tally.acknowledged)
                .map(|((source, account), tally)| UsageCount {
                    source: *source,
                    window: *window,
                    account: account.clone(),
                    count: tally.count,
                })
        });
        let counts: Vec<UsageCount> = lacking.take(MAX_SENT_COUNTS).collect();
        self.unacknowledged = (!counts.is_empty()).then(|| (sequence, counts.clone()));
        counts
    }

    /// Records that the receiver has replied to a message.
    pub fn on_reply(&mut self, from: &Name, sequence: u64) {
        let is_receiver = self.receiver.as_ref().is_some_and(|(name, _)| name == from);
        let Some((_, counts)) = self
            .unacknowledged
            .take_if(|(sent, _)| is_receiver && *sent == sequence)
        else {
            return;
        };
        for usage in counts {
            let counts = self.windows.get_mut(&usage.window);
            let key = (usage.source, usage.account);
            if let Some(tally) = counts.and_then(|counts| counts.tallies.get_mut(&key)) {
                tally.acknowledged = tally.acknowledged.max(usage.count);
            }
        }
    }

    /// Makes the counts of some windows be sent again, to a receiver that may have restarted unnoticed.
    pub fn forget_acknowledgements(&mut self, windows: impl std::ops::RangeBounds<u64>) {
        for (_, counts) in self.windows.range_mut(windows) {
            counts
                .tallies
                .values_mut()
                .for_each(|tally| tally.acknowledged = 0);
        }
        self.unacknowledged = None;
    }

    /// Returns whether the last receiver has all counts.
    pub fn is_acknowledged(&self) -> bool {
        self.windows
            .values()
            .all(|counts| counts.unacknowledged_requests() == 0)
    }

    /// Returns the number of processes that have counted requests of a window.
    pub fn sources(&self, window: u64) -> usize {
        let counts = self.windows.get(&window);
        counts.map_or(0, |counts| counts.sources.len())
    }

    /// Returns the requests of a window by account, sorted by name.
    pub fn totals(&self, window: u64) -> Vec<(Name, u64)> {
        let mut totals: BTreeMap<&Name, u64> = BTreeMap::new();
        let counts = self.windows.get(&window).into_iter();
        for ((_, account), tally) in counts.flat_map(|counts| &counts.tallies) {
            *totals.entry(account).or_default() += u64::from(tally.count);
        }
        totals
            .into_iter()
            .map(|(account, count)| (account.clone(), count))
            .collect()
    }
}

/// The requests that an entry has counted.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    settings: UsageSettings,
    source: u64,
    clock: WallClock,
    table: UsageTable,
    /// The latest window that has begun.
    present: u64,
}

impl UsageCounter {
    /// Creates a counter that counts under the number `source`.
    pub fn new(settings: UsageSettings, source: u64) -> Self {
        Self {
            settings,
            source,
            ..Self::default()
        }
    }

    /// Records the time of day.
    pub fn observe_time(&mut self, now_ms: u64, unix_ms: u64) {
        self.clock.observe(now_ms, unix_ms);
    }

    /// Counts a request that an upstream has begun to run.
    pub fn add(&mut self, now_ms: u64, account: &Name) {
        if let Some(unix_ms) = self.clock.unix_ms(now_ms) {
            let window = self.settings.window(unix_ms);
            self.table.add(self.source, window, account);
        }
    }

    /// Advances to the present window. Returns the number of requests that were counted and are lost.
    pub fn on_tick(&mut self, now_ms: u64) -> u64 {
        let Some(unix_ms) = self.clock.unix_ms(now_ms) else {
            return 0;
        };
        let window = self.settings.window(unix_ms);
        if window <= self.present {
            return 0;
        }
        // A replica that has restarted with the same id does not have what its earlier process acknowledged.
        self.table.forget_acknowledgements(self.present..window);
        self.present = window;
        let expired = self.table.expire(window);
        expired.iter().map(|window| window.unacknowledged).sum()
    }

    /// Returns what a replica lacks, for the message with number `sequence`.
    pub fn take_unacknowledged(&mut self, replica: &Name, sequence: u64) -> Vec<UsageCount> {
        self.table
            .take_unacknowledged(replica, 0, sequence, u64::MAX)
    }

    /// Records that a replica has replied to a message.
    pub fn on_reply(&mut self, from: &Name, sequence: u64) {
        self.table.on_reply(from, sequence);
    }

    /// Returns whether the replica has all counts.
    pub fn is_acknowledged(&self) -> bool {
        self.table.is_acknowledged()
    }
}
