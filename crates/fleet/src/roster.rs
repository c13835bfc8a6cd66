//! The leader's volatile view of instances, built from their reports.

use std::collections::BTreeMap;
use std::hash::BuildHasher;

use conf::Name;
use conf::admin::DrainTarget;

use crate::control::ControlState;
use crate::message::{ClusterView, InstanceReport, InstanceView};
use crate::platform::PlatformList;

/// Instances that have reported to this leader.
#[derive(Clone, Debug)]
pub struct Roster {
    since_ms: u64,
    lease_ms: u64,
    seen: BTreeMap<Name, Seen>,
}

#[derive(Clone, Debug)]
struct Seen {
    report: InstanceReport,
    reported_at_ms: u64,
}

impl Seen {
    fn order(&self) -> (u64, u64) {
        (self.report.info.incarnation, self.report.sequence)
    }

    fn says_the_same(&self, report: &InstanceReport) -> bool {
        self.report.info == report.info
            && self.report.revision == report.revision
            && self.report.stopping == report.stopping
    }
}

/// How many instances have the current revision in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Instances with a valid configuration lease.
    pub live: u64,
    /// Live instances that have the revision in force.
    pub in_force: u64,
}

impl Roster {
    /// Creates the empty roster of a leader elected at `now_ms`.
    pub fn new(now_ms: u64, lease_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            lease_ms,
            seen: BTreeMap::new(),
        }
    }

    /// Takes a report. One that is older than the latest changes nothing. Returns whether counts or
    /// the view may differ from before the report.
    pub fn on_report(&mut self, now_ms: u64, report: &InstanceReport) -> bool {
        let order = (report.info.incarnation, report.sequence);
        let earlier = self.seen.get(&report.info.id);
        if earlier.is_some_and(|seen| seen.order() >= order) {
            return false;
        }
        let is_repeat = earlier.is_some_and(|seen| {
            now_ms < seen.reported_at_ms + self.lease_ms && seen.says_the_same(report)
        });
        let seen = Seen {
            report: report.clone(),
            reported_at_ms: now_ms,
        };
        self.seen.insert(report.info.id.clone(), seen);
        !is_repeat
    }

    /// Returns until when counts and the view stay as they are at `now_ms` without a report: until
    /// the next lease runs out or the roster is settled, in milliseconds.
    pub fn steady_until_ms(&self, now_ms: u64) -> u64 {
        let leases = self.seen.values();
        let ends = leases.map(|seen| seen.reported_at_ms + self.lease_ms);
        let settled_ms = self.since_ms + self.lease_ms;
        let ends = ends.chain([settled_ms]).filter(|end_ms| *end_ms > now_ms);
        ends.min().unwrap_or(u64::MAX)
    }

    /// Returns the reports of all instances whose lease is valid.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &InstanceReport> {
        self.seen
            .values()
            .filter(move |seen| now_ms < seen.reported_at_ms + self.lease_ms)
            .map(|seen| &seen.report)
    }

    /// Returns the latest report of an instance whose lease is valid.
    pub fn live_instance(&self, now_ms: u64, id: &Name) -> Option<&InstanceReport> {
        let seen = self.seen.get(id)?;
        (now_ms < seen.reported_at_ms + self.lease_ms).then_some(&seen.report)
    }

    /// Returns whether every instance with a valid lease has had time to report to this leader.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + self.lease_ms
    }

    /// Returns whether no process of `id` has reported for `gate_lease_ms`.
    pub fn is_silent(&self, now_ms: u64, id: &Name, gate_lease_ms: u64) -> bool {
        let last_ms = self
            .seen
            .get(id)
            .map_or(self.since_ms, |seen| seen.reported_at_ms);
        now_ms >= last_ms.max(self.since_ms) + gate_lease_ms
    }

    /// Counts the live instances that have `revision` in force. Both counts are 0 until the roster
    /// is settled, since instances with a valid lease could be missing.
    pub fn in_force(&self, now_ms: u64, revision: u64) -> InForce {
        if !self.is_settled(now_ms) {
            return InForce::default();
        }
        let live = self.live(now_ms).count() as u64;
        let in_force = self
            .live(now_ms)
            .filter(|report| report.revision >= revision)
            .count() as u64;
        InForce { live, in_force }
    }

    /// Returns whether an instance is stopping, has a drain mark or is reported as leaving.
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

    /// Builds the view that is sent to instances.
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
        view.version = hash(&view);
        view
    }
}

fn hash(view: &ClusterView) -> u64 {
    foldhash::fast::FixedState::default().hash_one(view)
}
