//! An instance's client of the leader: sends reports, and takes the configuration, the cluster view and the leases from
//! the replies.

use std::collections::BTreeMap;

use conf::Name;
use conf::settings::{Settings, Timing, Voter};

use crate::command::ConfigRevision;
use crate::message::{
    ClusterView, InstanceInfo, InstanceReport, LeaderReply, PeerMessage, ServiceDemand,
};

/// Number of reports without a reply after which an instance sends its reports to all voters to find the leader.
const MAX_PENDING_REPORTS: usize = 3;

/// Time for which replies to `AskConfig` are collected, in milliseconds.
const CONFIG_SEARCH_WINDOW_MS: u64 = 1_000;

/// A message to another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Id of the receiving instance.
    pub to: Name,
    /// Peer address of the receiving instance.
    pub address: Name,
    /// The message.
    pub message: PeerMessage,
}

/// What a reply of the leader has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyChanges {
    /// Whether a newer revision is now in force.
    pub config: bool,
    /// Whether the view of instances, gates and drain marks has changed.
    pub view: bool,
}

/// What an instance knows from the leader, and the reports to which the leader has not replied yet.
///
/// Every instance has a leader client, including the instance whose replica is the leader.
#[derive(Clone, Debug)]
pub struct LeaderClient {
    info: InstanceInfo,
    voters: Vec<Voter>,
    timing: Timing,
    started_at_ms: u64,
    next_report_ms: u64,
    sequence: u64,
    pending_reports: BTreeMap<u64, u64>,
    leader: Option<Name>,
    term: u64,
    config: Option<ConfigRevision>,
    config_lease_deadline_ms: u64,
    gate_lease_deadline_ms: u64,
    view: ClusterView,
    is_draining: bool,
    live_instances: u64,
    instances_in_force: u64,
    counts_revision: u64,
    is_config_confirmed: bool,
    config_search: Option<ConfigSearch>,
}

/// A search for the highest revision among the voters and the reachable instances of this availability zone.
#[derive(Clone, Debug)]
struct ConfigSearch {
    deadline_ms: u64,
    has_reply: bool,
    best: Option<ConfigRevision>,
    instances: BTreeMap<Name, InstanceInfo>,
}

impl LeaderClient {
    /// Creates the leader client of a process that started at `now_ms`.
    pub fn new(settings: &Settings, incarnation: u64, now_ms: u64) -> Self {
        Self {
            info: InstanceInfo {
                id: settings.instance.id.clone(),
                incarnation,
                availability_zone: settings.instance.availability_zone.clone(),
                peer_address: settings.instance.peer_address.clone(),
            },
            voters: settings.voters.clone(),
            timing: settings.timing.clone(),
            started_at_ms: now_ms,
            next_report_ms: now_ms,
            sequence: 0,
            pending_reports: BTreeMap::new(),
            leader: None,
            term: 0,
            config: None,
            config_lease_deadline_ms: 0,
            gate_lease_deadline_ms: 0,
            view: ClusterView::default(),
            is_draining: false,
            live_instances: 0,
            instances_in_force: 0,
            counts_revision: 0,
            is_config_confirmed: false,
            config_search: None,
        }
    }

    /// Returns the identity, availability zone and peer address of this instance.
    pub fn info(&self) -> &InstanceInfo {
        &self.info
    }

    /// Returns the configuration in force, if any.
    pub fn config(&self) -> Option<&ConfigRevision> {
        self.config.as_ref()
    }

    /// Returns the revision in force, 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Returns whether the configuration in force is known to be current.
    pub fn is_config_current(&self, now_ms: u64) -> bool {
        now_ms < self.config_lease_deadline_ms
    }

    /// Returns whether this process has a valid gate lease, so that it may send orders through its gates.
    pub fn holds_gate_lease(&self, now_ms: u64) -> bool {
        now_ms < self.gate_lease_deadline_ms
    }

    /// Returns whether, since the start, the revision in force has been compared with the revision of the leader or
    /// with the revisions of reachable instances, and the highest revision has been adopted.
    pub fn is_config_confirmed(&self) -> bool {
        self.is_config_confirmed
    }

    /// Returns whether callers can be served: a configuration is in force and was the highest known after the start.
    pub fn is_ready(&self) -> bool {
        self.is_config_confirmed && self.config.is_some()
    }

    /// Returns the leader's view of the cluster.
    pub fn view(&self) -> &ClusterView {
        &self.view
    }

    /// Returns whether the view shows this instance as draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns the known leader, if any.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Returns the numbers of live instances and of those with the revision in force. A voter learns a revision from
    /// the log before the leader has sent counts for it; until then the second number is 0.
    pub fn in_force_counts(&self) -> (u64, u64) {
        match self.counts_revision < self.revision() {
            true => (self.live_instances, 0),
            false => (self.live_instances, self.instances_in_force),
        }
    }

    /// Returns the peer address of a voter or of an instance in the cluster view.
    pub fn address_of(&self, id: &Name) -> Option<Name> {
        let voter = self.voters.iter().find(|voter| voter.id == *id);
        let instance = self.view.instances.iter().find(|i| i.info.id == *id);
        voter
            .map(|voter| voter.peer_address.clone())
            .or_else(|| instance.map(|instance| instance.info.peer_address.clone()))
    }

    /// Sets the leader that this instance's own replica knows. `None` leaves the known leader as it is.
    pub fn set_leader(&mut self, leader: Option<Name>) {
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// Returns the messages to send: a report if one is due, and requests for the configuration if no leader has
    /// confirmed it since the start.
    pub fn tick(
        &mut self,
        now_ms: u64,
        is_stopping: bool,
        demand: impl FnOnce() -> Vec<ServiceDemand>,
    ) -> Vec<OutgoingMessage> {
        let mut out = Vec::new();
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + self.timing.report_interval_ms;
            self.report(now_ms, is_stopping, demand(), &mut out);
        }
        self.search_config(now_ms, &mut out);
        out
    }

    /// Schedules a report for the next tick.
    pub fn report_at_next_tick(&mut self, now_ms: u64) {
        self.next_report_ms = now_ms;
    }

    /// Handles the reply to a report. Replies of deposed leaders are ignored.
    pub fn on_reply(&mut self, now_ms: u64, from: &Name, reply: &LeaderReply) -> ReplyChanges {
        let Some(sent_at_ms) = self.pending_reports.remove(&reply.sequence) else {
            return ReplyChanges::default();
        };
        if !reply.is_leader {
            self.follow_redirect(from, reply, now_ms);
            return ReplyChanges::default();
        }
        if reply.term < self.term {
            return ReplyChanges::default();
        }
        self.term = reply.term;
        self.leader = Some(from.clone());
        self.pending_reports.retain(|_, sent| *sent > sent_at_ms);
        self.live_instances = reply.live_instances;
        self.instances_in_force = reply.instances_in_force;
        self.counts_revision = reply.revision;
        let changes = ReplyChanges {
            config: self.adopt_config(reply.config.clone()),
            view: self.adopt_view(reply.view.as_ref()),
        };
        self.renew_leases(sent_at_ms, reply);
        if self.revision() >= reply.revision {
            self.is_config_confirmed = true;
            self.config_search = None;
        }
        if changes.config {
            // The next report is sent at once, so that the leader counts this instance for the new revision.
            self.report_at_next_tick(now_ms);
        }
        changes
    }

    /// Handles a revision that did not arrive with a reply, for example one from this instance's own replica. Returns
    /// whether the revision in force has changed.
    pub fn on_revision(&mut self, now_ms: u64, config: &ConfigRevision) -> bool {
        let changed = self.adopt_config(Some(config.clone()));
        if changed {
            self.report_at_next_tick(now_ms);
        }
        changed
    }

    /// Handles the reply to `AskConfig`.
    pub fn on_config(&mut self, config: Option<&ConfigRevision>, instances: &[InstanceInfo]) {
        let Some(search) = &mut self.config_search else {
            return;
        };
        search.has_reply = true;
        let best_revision = search.best.as_ref().map_or(0, |best| best.revision);
        if let Some(config) = config
            && config.revision > best_revision
        {
            search.best = Some(config.clone());
        }
        for info in instances {
            if info.availability_zone == self.info.availability_zone {
                search.instances.insert(info.id.clone(), info.clone());
            }
        }
    }

    /// Returns the identities of the instances in the view, for a reply to `AskConfig`.
    pub fn known_instances(&self) -> Vec<InstanceInfo> {
        self.view
            .instances
            .iter()
            .map(|instance| instance.info.clone())
            .collect()
    }

    fn report(
        &mut self,
        now_ms: u64,
        is_stopping: bool,
        demand: Vec<ServiceDemand>,
        out: &mut Vec<OutgoingMessage>,
    ) {
        if self.pending_reports.len() >= MAX_PENDING_REPORTS {
            self.leader = None;
            self.pending_reports.pop_first();
        }
        self.sequence += 1;
        self.pending_reports.insert(self.sequence, now_ms);
        let report = PeerMessage::Report(InstanceReport {
            info: self.info.clone(),
            sequence: self.sequence,
            revision: self.revision(),
            stopping: is_stopping,
            view_version: self.view.version,
            demand,
            quarantine: quarantine::Report::default(),
        });
        for voter in &self.voters {
            if self
                .leader
                .as_ref()
                .is_none_or(|leader| *leader == voter.id)
            {
                out.push(outgoing_message(
                    &voter.id,
                    &voter.peer_address,
                    report.clone(),
                ));
            }
        }
    }

    // After an election, a voter that is not the leader names the new leader, which gets the next report at once.
    fn follow_redirect(&mut self, from: &Name, reply: &LeaderReply, now_ms: u64) {
        if reply.leader.is_some()
            && reply.leader != self.leader
            && reply.leader.as_ref() != Some(from)
        {
            self.leader = reply.leader.clone();
            self.report_at_next_tick(now_ms);
        }
    }

    fn adopt_config(&mut self, config: Option<ConfigRevision>) -> bool {
        let Some(config) = config else {
            return false;
        };
        if config.revision <= self.revision() {
            return false;
        }
        self.config = Some(config);
        true
    }

    fn adopt_view(&mut self, view: Option<&ClusterView>) -> bool {
        let Some(view) = view else {
            return false;
        };
        let changed = view.version != self.view.version;
        self.view = view.clone();
        // `is_draining` is called with every event, so its result is computed only when a view arrives.
        let own_id = &self.info.id;
        self.is_draining = view
            .instances
            .iter()
            .any(|instance| instance.info.id == *own_id && instance.draining);
        changed
    }

    // The leases start at the time at which the report was sent. The leader counts them from the arrival of the report,
    // which cannot be earlier, so no lease ends later here than on the leader.
    fn renew_leases(&mut self, sent_at_ms: u64, reply: &LeaderReply) {
        let gate_deadline_ms = sent_at_ms + self.timing.gate_lease_ms;
        self.gate_lease_deadline_ms = self.gate_lease_deadline_ms.max(gate_deadline_ms);
        if self.revision() >= reply.revision {
            let config_deadline_ms = sent_at_ms + self.timing.config_lease_ms;
            self.config_lease_deadline_ms = self.config_lease_deadline_ms.max(config_deadline_ms);
        }
    }

    fn search_config(&mut self, now_ms: u64, out: &mut Vec<OutgoingMessage>) {
        if self.is_config_confirmed || now_ms < self.started_at_ms + self.timing.config_lease_ms {
            return;
        }
        match &self.config_search {
            Some(search) if now_ms < search.deadline_ms => {}
            Some(search) if search.has_reply => self.finish_config_search(),
            _ => self.start_config_search(now_ms, out),
        }
    }

    fn start_config_search(&mut self, now_ms: u64, out: &mut Vec<OutgoingMessage>) {
        let earlier = self.config_search.take();
        let instances = earlier.map(|search| search.instances).unwrap_or_default();
        let ask = PeerMessage::AskConfig {
            token: now_ms,
            info: self.info.clone(),
        };
        for voter in self.voters.iter().filter(|voter| voter.id != self.info.id) {
            out.push(outgoing_message(
                &voter.id,
                &voter.peer_address,
                ask.clone(),
            ));
        }
        for info in instances.values().filter(|info| info.id != self.info.id) {
            out.push(outgoing_message(&info.id, &info.peer_address, ask.clone()));
        }
        self.config_search = Some(ConfigSearch {
            deadline_ms: now_ms + CONFIG_SEARCH_WINDOW_MS,
            has_reply: false,
            best: None,
            instances,
        });
    }

    fn finish_config_search(&mut self) {
        let Some(search) = self.config_search.take() else {
            return;
        };
        self.adopt_config(search.best);
        self.is_config_confirmed = self.config.is_some();
    }
}

fn outgoing_message(to: &Name, address: &Name, message: PeerMessage) -> OutgoingMessage {
    OutgoingMessage {
        to: to.clone(),
        address: address.clone(),
        message,
    }
}
