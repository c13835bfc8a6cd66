//! Duties of the leader: the roster of instances, gates and the cluster clock.

use conf::settings::Planning;
use conf::{Map, Name};
use fleet::grant::{GrantSettings, due_grants};
use fleet::{
    ClusterView, Command, ControlState, InForceCounts, InstanceReport, LeaderReply, PlatformList,
    Roster,
};

use crate::event::LoadReport;
use crate::planning::RolePlanning;

/// Interval of the leader's duties, in milliseconds.
const DUTY_INTERVAL_MS: u64 = 200;

/// Volatile state of an instance while its replica leads.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    term: u64,
    roster: Roster,
    planning: RolePlanning,
    summary: Option<Summary>,
    next_duty_ms: u64,
}

/// The view and the counts, kept while nothing that they are made of has changed.
#[derive(Clone, Debug)]
struct Summary {
    view: ClusterView,
    counts: InForceCounts,
    /// Changes of the control state that it contains.
    control_changes: u64,
    valid_until_ms: u64,
}

impl Leadership {
    pub fn new(now_ms: u64, term: u64, lease_ms: u64, planning: Planning) -> Self {
        Self {
            term,
            roster: Roster::new(now_ms, lease_ms),
            planning: RolePlanning::new(now_ms, planning),
            summary: None,
            next_duty_ms: now_ms,
        }
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes an instance's report and answers it.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        own_id: &Name,
        report: &InstanceReport,
        control: &ControlState,
        control_changes: u64,
        platform: &PlatformList,
    ) -> LeaderReply {
        self.planning.on_report(report);
        if self.roster.on_report(now_ms, report) {
            self.summary = None;
        }
        let (term, revision) = (self.term, control.revision());
        let summary = self.summary(now_ms, control, control_changes, platform);
        let (view, counts) = (&summary.view, summary.counts);
        LeaderReply {
            sequence: report.sequence,
            is_leader: true,
            leader: Some(own_id.clone()),
            term,
            revision,
            config: control
                .current_config()
                .filter(|current| report.revision < current.revision)
                .cloned(),
            view: (view.version != report.view_version).then(|| view.clone()),
            live_instances: counts.live,
            instances_in_force: counts.in_force,
        }
    }

    /// Returns the role changes that pay off, with the services that they are made for.
    pub fn role_changes(
        &mut self,
        now_ms: u64,
        control: &ControlState,
        loads: &Map<Name, LoadReport>,
    ) -> Vec<(Name, Command)> {
        let draining: Vec<Name> = control.draining_upstreams().cloned().collect();
        self.planning
            .due(now_ms, control.service_config(), loads, &draining)
    }

    /// Notes that the platform's list was read.
    pub fn on_platform_list(&mut self) {
        self.summary = None;
    }

    // Building a view takes a time proportional to the fleet, and every instance reports twice a second.
    fn summary(
        &mut self,
        now_ms: u64,
        control: &ControlState,
        control_changes: u64,
        platform: &PlatformList,
    ) -> &Summary {
        let kept = self.summary.take().filter(|summary| {
            summary.control_changes == control_changes && now_ms < summary.valid_until_ms
        });
        self.summary.insert(kept.unwrap_or_else(|| Summary {
            view: self.roster.view(now_ms, control, platform),
            counts: self.roster.in_force_counts(now_ms, control.revision()),
            control_changes,
            valid_until_ms: self.roster.unchanged_until_ms(now_ms),
        }))
    }

    /// Returns the commands that are due.
    pub fn duties(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        settings: GrantSettings,
        control: &ControlState,
        platform: &PlatformList,
    ) -> Vec<Command> {
        if now_ms < self.next_duty_ms {
            return Vec::new();
        }
        self.next_duty_ms = now_ms + DUTY_INTERVAL_MS;
        let mut commands = due_grants(now_ms, settings, control, &self.roster, platform);
        let deadline_ms = control.ledger.next_deadline_ms();
        if deadline_ms.is_some_and(|deadline_ms| deadline_ms <= unix_ms) {
            commands.push(Command::Advance);
        }
        commands
    }
}
