//! The calls to the platform that only the leader of the log makes: when each is due, and the rate of all together.

use conf::{Map, Name};
use fleet::{ServiceRate, UpstreamRecord, UsageCount};

use crate::command::Command;
use crate::config::Service;
use crate::demand::ReportedDemand;
use crate::duty::{DutyCall, DutyOutcome};
use crate::lease::{LeaderLease, Subject};
use crate::scaling::{ScalingPlanner, UpstreamCount};
use crate::usage::UsageSettings;
use crate::usage_reports::UsageReports;
use crate::wall_clock::WallClock;

/// Pause after the first call that the platform has not answered or that exceeded its rate, in milliseconds.
const PAUSE_MIN_MS: u64 = 500;
/// Longest such pause, in milliseconds.
const PAUSE_MAX_MS: u64 = 4_000;
/// Interval between calls on different subjects is at least this, in milliseconds, whatever rate the platform accepts.
const MIN_INTERVAL_MS: u64 = 50;

/// Settings of the calls to the platform.
#[derive(Clone, Debug, Default)]
pub struct DutySettings {
    /// Reports of usage, if the platform asks for them.
    pub usage: Option<UsageSettings>,
    /// Whether the platform takes orders for upstreams.
    pub orders_upstreams: bool,
    /// Calls that the platform accepts from all instances together, per second.
    pub calls_per_s: f64,
}

/// What the replica is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum DutyAction {
    /// Calls the platform. Nothing is to be sent after `valid_until_ms`.
    Call {
        term: u64,
        call: DutyCall,
        valid_until_ms: u64,
    },
    /// Appends a command to the log.
    Propose(Command),
    /// Writes a log line.
    Log(String),
}

/// Spreads the calls over time.
#[derive(Clone, Debug, Default)]
struct CallRate {
    interval_ms: u64,
    next_ms: u64,
    /// Pause after a call that failed, in milliseconds; 0 after one that the platform has answered.
    pause_ms: u64,
}

impl CallRate {
    fn new(calls_per_s: f64) -> Self {
        let interval_ms = match calls_per_s > 0.0 {
            true => (1_000.0 / calls_per_s).ceil() as u64,
            false => 1_000,
        };
        Self {
            interval_ms: interval_ms.max(MIN_INTERVAL_MS),
            ..Self::default()
        }
    }

    fn on_call(&mut self, now_ms: u64) {
        self.next_ms = now_ms + self.interval_ms;
    }

    fn on_ended(&mut self, now_ms: u64, outcome: DutyOutcome) {
        match outcome {
            DutyOutcome::Accepted | DutyOutcome::NoneAvailable | DutyOutcome::Fenced => {
                self.pause_ms = 0;
            }
            DutyOutcome::Limited | DutyOutcome::Unknown => {
                self.pause_ms = (self.pause_ms * 2).clamp(PAUSE_MIN_MS, PAUSE_MAX_MS);
                self.next_ms = self.next_ms.max(now_ms + self.pause_ms);
            }
        }
    }
}

/// The calls of the leader, and the replicated state that they follow.
#[derive(Debug, Default)]
pub struct Duties {
    clock: WallClock,
    usage: UsageReports,
    orders_upstreams: bool,
    scaling: ScalingPlanner,
    demand: ReportedDemand,
    rate: CallRate,
    /// Calls in progress by subject, each with its term.
    in_progress: Map<Subject, u64>,
}

impl Duties {
    /// Creates the calls of a replica that is not the leader.
    pub fn new(settings: &DutySettings) -> Self {
        Self {
            usage: UsageReports::new(settings.usage.clone()),
            orders_upstreams: settings.orders_upstreams,
            rate: CallRate::new(settings.calls_per_s),
            ..Self::default()
        }
    }

    /// Records the time of day.
    pub fn observe_time(&mut self, now_ms: u64, unix_ms: u64) {
        self.clock.observe(now_ms, unix_ms);
    }

    /// Takes over counts of an entry or of another replica.
    pub fn merge_usage(&mut self, counts: &[UsageCount]) {
        self.usage.merge(counts);
    }

    /// Returns the counts that the leader of a term lacks, for the message with number `sequence`.
    pub fn unacknowledged_usage(
        &mut self,
        now_ms: u64,
        leader: &Name,
        term: u64,
        sequence: u64,
    ) -> Vec<UsageCount> {
        match self.clock.unix_ms(now_ms) {
            Some(unix_ms) => self
                .usage
                .take_unacknowledged(leader, term, sequence, unix_ms),
            None => Vec::new(),
        }
    }

    /// Records that a replica has replied to a message.
    pub fn on_reply(&mut self, from: &Name, sequence: u64) {
        self.usage.on_reply(from, sequence);
    }

    /// Returns whether the services of a document are needed.
    pub fn needs_services(&self) -> bool {
        self.orders_upstreams
    }

    /// Returns whether the leader orders upstreams of some service.
    pub fn is_scaling(&self) -> bool {
        self.orders_upstreams && self.scaling.is_active()
    }

    /// Takes over the services of the document in force.
    pub fn set_services(&mut self, services: Vec<Service>) {
        self.scaling.set_services(services);
    }

    /// Records the demand at an entry, or the demand that another replica has summed.
    pub fn on_demand(&mut self, now_ms: u64, from: &Name, is_entry: bool, rates: Vec<ServiceRate>) {
        self.demand.on_report(now_ms, from, is_entry, rates);
    }

    /// Returns the demand at the entries that subscribe to this replica.
    pub fn own_demand(&mut self, now_ms: u64) -> Vec<ServiceRate> {
        self.demand.own_sums(now_ms)
    }

    /// Returns the numbers of upstreams that this replica has ordered as the leader, for metrics.
    pub fn upstream_counts(&self) -> Vec<UpstreamCount> {
        self.scaling.counts()
    }

    /// Plans the number of upstreams with a current list, and appends the order that is due.
    pub fn plan_upstreams(
        &mut self,
        now_ms: u64,
        lease: &LeaderLease,
        upstreams: &[UpstreamRecord],
        actions: &mut Vec<DutyAction>,
    ) {
        if !self.is_scaling() {
            return;
        }
        let Some(permit) = lease.permit(now_ms, Subject::UpstreamCount) else {
            return;
        };
        let rates = self.demand.total_sums(now_ms);
        self.scaling.plan(now_ms, upstreams, &rates);
        if now_ms < self.rate.next_ms || self.in_progress.contains_key(&Subject::UpstreamCount) {
            return;
        }
        if let Some(order) = self.scaling.next_order(now_ms) {
            self.rate.on_call(now_ms);
            self.in_progress.insert(Subject::UpstreamCount, permit.term);
            let text = format!("{} term={} decision=order", order.reason, permit.term);
            actions.push(DutyAction::Log(text));
            actions.push(DutyAction::Call {
                term: permit.term,
                call: order.call,
                valid_until_ms: permit.valid_until_ms,
            });
        }
    }

    /// Appends what is to be done now. `has_document` tells whether a document has been published.
    pub fn on_tick(
        &mut self,
        now_ms: u64,
        lease: &LeaderLease,
        has_document: bool,
        actions: &mut Vec<DutyAction>,
    ) {
        let Some(unix_ms) = self.clock.unix_ms(now_ms) else {
            return;
        };
        let is_leader = lease.leader_age_ms(now_ms).is_some();
        self.usage
            .advance(unix_ms, has_document, is_leader, actions);
        let Some(leader_age_ms) = lease.leader_age_ms(now_ms) else {
            self.in_progress.clear();
            return;
        };
        self.usage.propose_due(unix_ms, leader_age_ms, actions);
        if now_ms >= self.rate.next_ms
            && !self.in_progress.contains_key(&Subject::Usage)
            && let Some(permit) = lease.permit(now_ms, Subject::Usage)
            && let Some(call) = self.usage.next_report(unix_ms)
        {
            self.rate.on_call(now_ms);
            self.in_progress.insert(Subject::Usage, permit.term);
            actions.push(DutyAction::Call {
                term: permit.term,
                call,
                valid_until_ms: permit.valid_until_ms,
            });
        }
    }

    /// Records that this replica has become the leader of a term. What an earlier term proposed or called may be lost.
    pub fn on_leading(&mut self) {
        self.in_progress.clear();
        self.scaling.on_leading();
        self.usage.on_leading();
    }

    /// Records the end of a call.
    pub fn on_ended(
        &mut self,
        now_ms: u64,
        term: u64,
        call: &DutyCall,
        outcome: DutyOutcome,
        lease: &mut LeaderLease,
        actions: &mut Vec<DutyAction>,
    ) {
        let subject = subject(call);
        if self.in_progress.get(&subject) == Some(&term) {
            self.in_progress.remove(&subject);
        }
        self.rate.on_ended(now_ms, outcome);
        if outcome == DutyOutcome::Fenced {
            lease.on_fenced(subject, term);
        }
        match call {
            DutyCall::ReportUsage { window, .. } => {
                if outcome == DutyOutcome::Accepted {
                    self.usage.on_accepted(*window);
                }
                let age_ms = self
                    .clock
                    .unix_ms(now_ms)
                    .map_or(0, |unix_ms| self.usage.window_age_ms(*window, unix_ms));
                actions.push(DutyAction::Log(format!(
                    "usage_window={window} term={term} report={} age_ms={age_ms}",
                    outcome.name()
                )));
            }
            DutyCall::OrderUpstreams {
                service,
                availability_zone,
                count,
                is_reclaimable,
            } => {
                self.scaling.on_ended(now_ms, call, outcome);
                actions.push(DutyAction::Log(format!(
                    "service={service} zone={availability_zone} reclaimable={is_reclaimable} count={count} term={term} \
                     order={}",
                    outcome.name()
                )));
            }
        }
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: Command, actions: &mut Vec<DutyAction>) {
        match command {
            Command::CommitUsage {
                window,
                counts,
                accepted,
            } => self.usage.apply(window, counts, &accepted, actions),
            Command::UsageState {
                next_window,
                pending,
            } => self.usage.restore(next_window, pending),
            Command::Document { .. } => {}
        }
    }

    /// Returns the commands that lead to the present replicated state.
    pub fn snapshot(&self) -> Vec<Command> {
        self.usage.snapshot().into_iter().collect()
    }
}

/// Returns the subject of a call.
fn subject(call: &DutyCall) -> Subject {
    match call {
        DutyCall::ReportUsage { .. } => Subject::Usage,
        DutyCall::OrderUpstreams { .. } => Subject::UpstreamCount,
    }
}
