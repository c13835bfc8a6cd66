//! State and decisions of the leader: the roster of instances, gate grants, role planning and the cluster clock.

use conf::settings::Planning;
use conf::{Map, Name};
use fleet::grant::{GrantSettings, due_grants};
use fleet::{
    ClusterView, Command, ControlState, InForceCounts, InstanceReport, LeaderReply, PlatformList,
    Roster,
};
use quarantine::Collector;

use crate::event::LoadReport;
use crate::planning::RolePlanning;

/// Interval at which the leader looks for due maintenance commands, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 200;

/// Volatile state of an instance while its replica is the leader.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    term: u64,
    roster: Roster,
    planning: RolePlanning,
    cached_view: Option<CachedView>,
    next_maintenance_ms: u64,
    quarantine: Collector,
}

/// The cluster view and the instance counts, cached until one of their sources changes.
#[derive(Clone, Debug)]
struct CachedView {
    view: ClusterView,
    counts: InForceCounts,
    /// Number of control state changes that the cached view includes.
    control_changes: u64,
    valid_until_ms: u64,
}

impl Leadership {
    pub fn new(now_ms: u64, term: u64, lease_ms: u64, planning: Planning) -> Self {
        Self {
            term,
            roster: Roster::new(now_ms, lease_ms),
            planning: RolePlanning::new(now_ms, planning),
            cached_view: None,
            next_maintenance_ms: now_ms,
            quarantine: Collector::default(),
        }
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Records an instance's report and returns the reply.
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
        let quarantine = self.update_quarantine(now_ms, &report.quarantine);
        if self.roster.on_report(now_ms, report) {
            self.cached_view = None;
        }
        let (term, revision) = (self.term, control.revision());
        let cached_view = self.cached_view(now_ms, control, control_changes, platform);
        let (view, counts) = (&cached_view.view, cached_view.counts);
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
            quarantine,
        }
    }

    /// Records what an instance has observed of crashes, and returns the verdicts that the instance lacks.
    fn update_quarantine(
        &mut self,
        now_ms: u64,
        report: &quarantine::Report,
    ) -> quarantine::Update {
        self.quarantine.on_report(now_ms, report, false);
        self.quarantine.decide(now_ms);
        let trials = self.quarantine.take_trials(now_ms, &report.refused);
        quarantine::Update {
            trials,
            ..self.quarantine.update(now_ms, report.version)
        }
    }

    /// Returns the role-change orders that are due, with their services.
    pub fn role_changes(
        &mut self,
        now_ms: u64,
        control: &ControlState,
        loads: &Map<Name, LoadReport>,
    ) -> Vec<(Name, Command)> {
        let draining: Vec<Name> = control.draining_upstreams().cloned().collect();
        self.planning
            .due_orders(now_ms, control.service_config(), loads, &draining)
    }

    /// Invalidates the cached view after a read of the platform's list.
    pub fn on_platform_list(&mut self) {
        self.cached_view = None;
    }

    /// Returns the cached view, rebuilt if it is outdated.
    ///
    /// The view is cached because the time to build it is proportional to the fleet size, and every instance reports
    /// twice a second.
    fn cached_view(
        &mut self,
        now_ms: u64,
        control: &ControlState,
        control_changes: u64,
        platform: &PlatformList,
    ) -> &CachedView {
        let valid_view = self.cached_view.take().filter(|cached_view| {
            cached_view.control_changes == control_changes && now_ms < cached_view.valid_until_ms
        });
        self.cached_view
            .insert(valid_view.unwrap_or_else(|| CachedView {
                view: self.roster.view(now_ms, control, platform),
                counts: self.roster.in_force_counts(now_ms, control.revision()),
                control_changes,
                valid_until_ms: self.roster.unchanged_until_ms(now_ms),
            }))
    }

    /// Returns the maintenance commands that are due: gate grants, and an advance of the cluster clock if a record's
    /// deadline has passed.
    pub fn maintenance_commands(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        settings: GrantSettings,
        control: &ControlState,
        platform: &PlatformList,
    ) -> Vec<Command> {
        if now_ms < self.next_maintenance_ms {
            return Vec::new();
        }
        self.next_maintenance_ms = now_ms + MAINTENANCE_INTERVAL_MS;
        let mut commands = due_grants(now_ms, settings, control, &self.roster, platform);
        let deadline_ms = control.ledger.next_deadline_ms();
        if deadline_ms.is_some_and(|deadline_ms| deadline_ms <= unix_ms) {
            commands.push(Command::Advance);
        }
        commands
    }
}
