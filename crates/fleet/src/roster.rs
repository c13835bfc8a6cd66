//! The leader's in-memory list of instances, built from their reports. The list is not replicated.

use std::collections::BTreeMap;
use std::hash::BuildHasher;

use conf::Name;
use conf::admin::DrainTarget;

use crate::control::ControlState;
use crate::message::{ClusterView, InstanceReport, InstanceView};
use crate::platform::PlatformList;

/// The latest report of each instance that has reported to this leader.
#[derive(Clone, Debug)]
pub struct Roster {
    elected_at_ms: u64,
    config_lease_ms: u64,
    reports: BTreeMap<Name, ReceivedReport>,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: InstanceReport,
    reported_at_ms: u64,
}

impl ReceivedReport {
    fn position(&self) -> (u64, u64) {
        (self.report.info.incarnation, self.report.sequence)
    }

    fn has_same_content(&self, report: &InstanceReport) -> bool {
        self.report.info == report.info
            && self.report.revision == report.revision
            && self.report.stopping == report.stopping
    }
}

/// Numbers of live instances and of those that have the current revision in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForceCounts {
    /// Number of instances with a valid configuration lease.
    pub live: u64,
    /// Number of live instances that have the revision in force.
    pub in_force: u64,
}

impl Roster {
    /// Creates an empty roster for a leader that was elected at `now_ms`. Leases last `config_lease_ms`.
    pub fn new(now_ms: u64, config_lease_ms: u64) -> Self {
        Self {
            elected_at_ms: now_ms,
            config_lease_ms,
            reports: BTreeMap::new(),
        }
    }

    /// Stores a report unless it is older than the stored one. Returns whether the in-force counts or the view may
    /// have changed.
    pub fn on_report(&mut self, now_ms: u64, report: &InstanceReport) -> bool {
        let position = (report.info.incarnation, report.sequence);
        let previous = self.reports.get(&report.info.id);
        if previous.is_some_and(|received| received.position() >= position) {
            return false;
        }
        let is_repeat = previous.is_some_and(|received| {
            now_ms < received.reported_at_ms + self.config_lease_ms
                && received.has_same_content(report)
        });
        let received = ReceivedReport {
            report: report.clone(),
            reported_at_ms: now_ms,
        };
        self.reports.insert(report.info.id.clone(), received);
        !is_repeat
    }

    /// Returns the time in milliseconds until which the in-force counts and the view remain as they are at `now_ms` if
    /// no report arrives: the time at which the next lease expires or the roster becomes complete.
    pub fn unchanged_until_ms(&self, now_ms: u64) -> u64 {
        let leases = self.reports.values();
        let deadlines_ms = leases.map(|received| received.reported_at_ms + self.config_lease_ms);
        let complete_at_ms = self.elected_at_ms + self.config_lease_ms;
        let deadlines_ms = deadlines_ms
            .chain([complete_at_ms])
            .filter(|deadline_ms| *deadline_ms > now_ms);
        deadlines_ms.min().unwrap_or(u64::MAX)
    }

    /// Returns the latest report of every instance whose configuration lease is valid.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &InstanceReport> {
        self.reports
            .values()
            .filter(move |received| now_ms < received.reported_at_ms + self.config_lease_ms)
            .map(|received| &received.report)
    }

    /// Returns the latest report of instance `id` if its configuration lease is valid.
    pub fn live_instance(&self, now_ms: u64, id: &Name) -> Option<&InstanceReport> {
        let received = self.reports.get(id)?;
        (now_ms < received.reported_at_ms + self.config_lease_ms).then_some(&received.report)
    }

    /// Returns whether every instance with a valid configuration lease has had time to report to this leader.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        now_ms >= self.elected_at_ms + self.config_lease_ms
    }

    /// Returns whether no process of instance `id` has reported within the last `gate_lease_ms`. The time before the
    /// leader's election does not count.
    pub fn is_gate_lease_expired(&self, now_ms: u64, id: &Name, gate_lease_ms: u64) -> bool {
        let last_report_ms = self
            .reports
            .get(id)
            .map_or(self.elected_at_ms, |received| received.reported_at_ms);
        now_ms >= last_report_ms.max(self.elected_at_ms) + gate_lease_ms
    }

    /// Counts the live instances and those that have `revision` in force. Both counts are 0 until the roster is
    /// complete, since instances with a valid lease could be missing from it.
    pub fn in_force_counts(&self, now_ms: u64, revision: u64) -> InForceCounts {
        if !self.is_complete(now_ms) {
            return InForceCounts::default();
        }
        let live = self.live(now_ms).count() as u64;
        let in_force = self
            .live(now_ms)
            .filter(|report| report.revision >= revision)
            .count() as u64;
        InForceCounts { live, in_force }
    }

    /// Returns whether the instance is stopping, has a drain mark or is listed as leaving by the platform.
    pub fn is_draining(
        &self,
        report: &InstanceReport,
        control: &ControlState,
        platform: &PlatformList,
    ) -> bool {
        let id = &report.info.id;
        report.stopping
            || control.drains.contains(&DrainTarget::Instance(id.clone()))
            || platform.is_leaving(id)
    }

    /// Builds the cluster view that the leader sends to instances.
    pub fn view(
        &self,
        now_ms: u64,
        control: &ControlState,
        platform: &PlatformList,
    ) -> ClusterView {
        let instances = self
            .live(now_ms)
            .map(|report| InstanceView {
                info: report.info.clone(),
                draining: self.is_draining(report, control, platform),
                revision: report.revision,
            })
            .collect();
        let mut view = ClusterView {
            version: 0,
            instances,
            draining_upstreams: control.draining_upstreams().cloned().collect(),
            gates: control.gate_list(),
        };
        view.version = view_hash(&view);
        view
    }
}

fn view_hash(view: &ClusterView) -> u64 {
    foldhash::fast::FixedState::default().hash_one(view)
}
