//! The reports of usage: the counts that replicas gather, the counts that the log fixes, and what is still to be reported.
//!
//! The counts of a window are committed to the log before they are first sent, so that every repetition of a report, by
//! whichever leader, has the same content.

use std::collections::{BTreeMap, BTreeSet};

use conf::Name;
use fleet::UsageCount;

use crate::command::{Command, WindowCounts};
use crate::duties::DutyAction;
use crate::duty::DutyCall;
use crate::usage::{RETAINED_WINDOWS, UsageSettings, UsageTable};

/// Share of the time until a report is due after which the counts of a window are fixed. The rest is left for the election
/// of another leader, the end of its predecessor's lease and the call.
const GATHERING_SHARE: f64 = 0.5;
/// The same if entries are missing that have counted in the previous window. The rest is left for the call.
const EXTENDED_GATHERING_SHARE: f64 = 0.75;
/// Share of the entries of the previous window at which no further ones are waited for. An entry may have counted nothing.
const COMPLETE_SHARE: f64 = 0.9;
/// Time for which a new leader waits for the counts that other replicas hold, in milliseconds: a few intervals of the
/// messages between replicas.
const LEADER_GATHERING_MS: u64 = 1_500;
/// Largest number of windows that may wait for their reports. The oldest ones are given up first.
const MAX_PENDING_WINDOWS: usize = 1_024;
/// Largest number of counts in them. Snapshots hold them all.
const MAX_PENDING_COUNTS: usize = 50_000;
/// The reports of one replica.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    /// None if the platform asks for no reports.
    settings: Option<UsageSettings>,
    /// Counts of entries, as far as this replica has received them.
    table: UsageTable,
    /// Replicated: the first window that is not committed; 0 before the first commit.
    next_window: u64,
    /// Replicated: committed windows whose reports the platform has not accepted, as far as the log tells.
    pending: BTreeMap<u64, WindowCounts>,
    /// Windows whose reports the platform has accepted from this replica. The next command states them.
    accepted: BTreeSet<u64>,
    /// Window that this replica has proposed as the leader and that is not committed yet.
    proposed: Option<u64>,
    /// Requests in committed windows, until the counts of the window are forgotten.
    committed: BTreeMap<u64, u64>,
    /// Window from which on the whole system counts requests, as far as this replica knows.
    first_window: Option<u64>,
}

impl UsageReports {
    /// Creates the reports of a replica whose log is empty.
    pub fn new(settings: Option<UsageSettings>) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes over counts of an entry or of another replica.
    pub fn merge(&mut self, counts: &[UsageCount]) {
        if self.settings.is_some() {
            counts.iter().for_each(|usage| self.table.merge(usage));
        }
    }

    /// Returns what the leader lacks, for the message with number `sequence`. Windows that have not ended are left out:
    /// the entries still hold their counts.
    pub fn take_unacknowledged(
        &mut self,
        leader: &Name,
        term: u64,
        sequence: u64,
        unix_ms: u64,
    ) -> Vec<UsageCount> {
        let present = self
            .settings
            .as_ref()
            .map_or(0, |settings| settings.window(unix_ms));
        self.table
            .take_unacknowledged(leader, term, sequence, present)
    }

    /// Records that the leader has replied to a message.
    pub fn on_reply(&mut self, from: &Name, sequence: u64) {
        self.table.on_reply(from, sequence);
    }

    /// Advances to the present window and forgets counts that are no longer kept. `has_document` tells whether a document
    /// has been published.
    pub fn advance(
        &mut self,
        unix_ms: u64,
        has_document: bool,
        is_leader: bool,
        actions: &mut Vec<DutyAction>,
    ) {
        let Some(settings) = &self.settings else {
            return;
        };
        let present = settings.window(unix_ms);
        // Without a document, no request has run yet, so that the present window is counted from its beginning.
        self.first_window
            .get_or_insert(present + u64::from(has_document));
        for expired in self.table.expire(present) {
            let committed = self.committed.remove(&expired.window).unwrap_or_default();
            let late = expired.requests.saturating_sub(committed);
            if is_leader && late > 0 {
                actions.push(DutyAction::Log(format!(
                    "usage_window={} late_requests={late} committed_requests={committed}",
                    expired.window
                )));
            }
        }
        // Windows without counts do not expire above.
        self.committed
            .retain(|window, _| window + RETAINED_WINDOWS >= present);
    }

    /// Records that this replica has become the leader. What it proposed in an earlier term may be lost.
    pub fn on_leading(&mut self) {
        self.proposed = None;
    }

    /// Proposes the counts of the next window, if it is time to fix them.
    pub fn propose_due(&mut self, unix_ms: u64, leader_age_ms: u64, actions: &mut Vec<DutyAction>) {
        let Some(settings) = &self.settings else {
            return;
        };
        let present = settings.window(unix_ms);
        let next_window = match self.next_window {
            0 => self.first_window.unwrap_or(present),
            next_window => next_window,
        };
        let expected = self.table.sources(next_window.saturating_sub(1)) as f64 * COMPLETE_SHARE;
        let share = match self.table.sources(next_window) as f64 >= expected {
            true => GATHERING_SHARE,
            false => EXTENDED_GATHERING_SHARE,
        };
        let gathered_ms = settings.end_ms(next_window) + (settings.due_ms as f64 * share) as u64;
        if unix_ms < gathered_ms || leader_age_ms < LEADER_GATHERING_MS || self.proposed.is_some() {
            return;
        }
        let mut window = next_window;
        if present - window > RETAINED_WINDOWS {
            window = present - RETAINED_WINDOWS;
            actions.push(DutyAction::Log(format!(
                "usage_windows={next_window}..{window} outcome=skipped reason=\"their counts are gone\""
            )));
        }
        self.proposed = Some(window);
        let counts = self.table.totals(window);
        let requests: u64 = counts.iter().map(|(_, count)| count).sum();
        actions.push(DutyAction::Log(format!(
            "usage_window={window} decision=commit requests={requests} accounts={} entries={} age_ms={}",
            counts.len(),
            self.table.sources(window),
            unix_ms - settings.end_ms(window),
        )));
        actions.push(DutyAction::Propose(Command::CommitUsage {
            window,
            counts: counts.into(),
            accepted: self.accepted.iter().copied().collect(),
        }));
    }

    /// Returns the report that is to be sent next: the oldest one that can still be in time, and otherwise the oldest one.
    pub fn next_report(&self, unix_ms: u64) -> Option<DutyCall> {
        let settings = self.settings.as_ref()?;
        let mut open = self
            .pending
            .iter()
            .filter(|(window, _)| !self.accepted.contains(window));
        let is_in_time =
            |window: &u64| unix_ms < settings.end_ms(*window).saturating_add(settings.due_ms);
        let oldest = open.clone().next();
        let (window, counts) = open.find(|(window, _)| is_in_time(window)).or(oldest)?;
        Some(DutyCall::ReportUsage {
            window: *window,
            counts: counts.clone(),
        })
    }

    /// Returns the time since the end of a window, in milliseconds.
    pub fn window_age_ms(&self, window: u64, unix_ms: u64) -> u64 {
        self.settings.as_ref().map_or(0, |settings| {
            unix_ms.saturating_sub(settings.end_ms(window))
        })
    }

    /// Records that the platform has accepted the report of a window.
    pub fn on_accepted(&mut self, window: u64) {
        if self.pending.contains_key(&window) {
            self.accepted.insert(window);
        }
    }

    /// Applies a committed window. A window that was committed before keeps its counts.
    pub fn apply(
        &mut self,
        window: u64,
        counts: WindowCounts,
        accepted: &[u64],
        actions: &mut Vec<DutyAction>,
    ) {
        for accepted in accepted {
            self.pending.remove(accepted);
            self.accepted.remove(accepted);
        }
        if self.proposed == Some(window) {
            self.proposed = None;
        }
        if window < self.next_window {
            return;
        }
        self.next_window = window + 1;
        if self.settings.is_some() {
            let requests = counts.iter().map(|(_, count)| count).sum();
            self.committed.insert(window, requests);
        }
        self.pending.insert(window, counts);
        self.limit_pending(actions);
    }

    fn limit_pending(&mut self, actions: &mut Vec<DutyAction>) {
        let mut counts: usize = self.pending.values().map(|counts| counts.len()).sum();
        while (self.pending.len() > MAX_PENDING_WINDOWS || counts > MAX_PENDING_COUNTS)
            && self.pending.len() > 1
            && let Some((window, dropped)) = self.pending.pop_first()
        {
            counts -= dropped.len();
            self.accepted.remove(&window);
            let text = format!("usage_window={window} outcome=given_up reason=\"too many wait\"");
            actions.push(DutyAction::Log(text));
        }
    }

    /// Replaces the replicated state by that of a snapshot.
    pub fn restore(&mut self, next_window: u64, pending: Vec<(u64, WindowCounts)>) {
        self.next_window = next_window;
        self.pending = pending.into_iter().collect();
        self.accepted
            .retain(|window| self.pending.contains_key(window));
    }

    /// Returns the replicated state; none before the first commit.
    pub fn snapshot(&self) -> Option<Command> {
        (self.next_window > 0).then(|| Command::UsageState {
            next_window: self.next_window,
            pending: self.pending.clone().into_iter().collect(),
        })
    }
}
