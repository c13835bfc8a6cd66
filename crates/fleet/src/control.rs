//! The replicated control state: configuration, gates, orders, drain marks and the ledger.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use conf::admin::DrainTarget;
use conf::{Fencing, Name, ServiceConfig, ServiceKind, Upstream};
use ledger::Ledger;

use crate::command::{
    Command, CommandReply, ConfigRevision, Configure, ConfigureReply, GateHolder, GrantEvidence,
    Order, OrderChange, OrderOutcome, Proposal, ProposalId,
};
use crate::message::Gate;

/// Maximum total size of the configuration texts that are kept for `return-to`, in bytes. Older revisions keep only
/// their ids. With 11,000 client accounts one revision takes several megabytes, and an instance may use 128 MB in
/// total.
const MAX_HISTORY_BYTES: usize = 32 * 1024 * 1024;

/// Number of ids of applied order proposals that are kept to detect repeated proposals.
const MAX_APPLIED_ORDERS: usize = 1_024;

/// Control state that every voter computes from the replicated log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    /// Cluster time in milliseconds since the Unix epoch. It never decreases.
    pub time_ms: u64,
    /// Accepted revisions in order; the last one is current.
    pub revisions: Vec<ConfigRevision>,
    /// Gates by upstream. A gate is kept after its upstream is removed, so that its epoch never decreases.
    pub gates: BTreeMap<Name, GateState>,
    /// Instances and upstreams with a drain mark.
    pub drains: BTreeSet<DrainTarget>,
    /// Highest incarnation that is confirmed dead, by instance.
    pub dead: BTreeMap<Name, u64>,
    /// Ids of the latest order proposals that have been applied, oldest first.
    pub applied_orders: VecDeque<ProposalId>,
    /// At-most-once records of non-idempotent requests.
    pub ledger: Ledger,
    service_config: Arc<ServiceConfig>,
}

/// The right to send orders to one upstream, and the latest order for that upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateState {
    /// Process that holds the right, if any.
    pub holder: Option<GateHolder>,
    /// Epoch of the latest grant; 0 before the first one.
    pub epoch: u64,
    /// Latest order, if any.
    pub order: Option<Order>,
    /// Outcome of the latest order; `None` while it is outstanding.
    pub outcome: Option<OrderOutcome>,
}

/// The serializable parts of a [`ControlState`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlParts {
    /// See [`ControlState::time_ms`].
    pub time_ms: u64,
    /// See [`ControlState::revisions`].
    pub revisions: Vec<ConfigRevision>,
    /// See [`ControlState::gates`].
    pub gates: Vec<(Name, GateState)>,
    /// See [`ControlState::drains`].
    pub drains: Vec<DrainTarget>,
    /// See [`ControlState::dead`].
    pub dead: Vec<(Name, u64)>,
    /// See [`ControlState::applied_orders`].
    pub applied_orders: Vec<ProposalId>,
    /// Records of the ledger.
    pub records: Vec<(ledger::Key, ledger::Record)>,
}

impl ControlState {
    /// Applies a committed command and returns the reply, which is the same on all replicas.
    pub fn apply(&mut self, proposal: &Proposal) -> CommandReply {
        self.time_ms = self.time_ms.max(proposal.at_ms);
        self.ledger.advance(self.time_ms);
        match &proposal.command {
            Command::Configure(configure) => CommandReply::Configure(self.configure(configure)),
            Command::Begin(begin) => CommandReply::Begin(self.ledger.begin(self.time_ms, begin)),
            Command::Finish(finish) => {
                self.ledger.finish(self.time_ms, finish);
                CommandReply::Applied
            }
            Command::GrantGate {
                upstream,
                holder,
                from_epoch,
                evidence,
            } => self.grant_gate(upstream, holder, *from_epoch, *evidence),
            Command::ReleaseGate {
                upstream,
                holder,
                epoch,
            } => self.release_gate(upstream, holder, *epoch),
            Command::Order { upstream, change } => self.order(&proposal.id, upstream, change),
            Command::OrderDone {
                upstream,
                epoch,
                sequence,
                outcome,
            } => self.order_done(upstream, *epoch, *sequence, *outcome),
            Command::Drain { target, draining } => self.drain(target, *draining),
            Command::ConfirmDead {
                instance,
                incarnation,
            } => self.confirm_dead(instance, *incarnation),
            Command::ReplaceVoter { .. } | Command::Advance => CommandReply::Applied,
        }
    }

    /// Returns the current revision, or `None` if no configuration has been accepted.
    pub fn current_config(&self) -> Option<&ConfigRevision> {
        self.revisions.last()
    }

    /// Returns the number of the current revision, 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.current_config().map_or(0, |current| current.revision)
    }

    /// Returns the service configuration of the current revision.
    pub fn service_config(&self) -> &Arc<ServiceConfig> {
        &self.service_config
    }

    /// Returns the gates of all configured engines.
    pub fn gate_list(&self) -> Vec<Gate> {
        self.engines()
            .map(|engine| self.gate(&engine.name))
            .collect()
    }

    /// Returns the configured upstreams that take orders.
    pub fn engines(&self) -> impl Iterator<Item = &Upstream> {
        engines(&self.service_config)
    }

    /// Returns the upstreams with a drain mark.
    pub fn draining_upstreams(&self) -> impl Iterator<Item = &Name> {
        self.drains.iter().filter_map(|target| match target {
            DrainTarget::Upstream(name) => Some(name),
            DrainTarget::Instance(_) => None,
        })
    }

    /// Returns the serializable parts of the state.
    pub fn to_parts(&self) -> ControlParts {
        ControlParts {
            time_ms: self.time_ms,
            revisions: self.revisions.clone(),
            gates: self.gates.clone().into_iter().collect(),
            drains: self.drains.iter().cloned().collect(),
            dead: self.dead.clone().into_iter().collect(),
            applied_orders: self.applied_orders.iter().cloned().collect(),
            records: self
                .ledger
                .records()
                .map(|(key, record)| (key.clone(), record.clone()))
                .collect(),
        }
    }

    /// Restores the state from its serializable parts.
    pub fn from_parts(parts: ControlParts) -> Self {
        let mut state = Self {
            time_ms: parts.time_ms,
            revisions: parts.revisions,
            gates: parts.gates.into_iter().collect(),
            drains: parts.drains.into_iter().collect(),
            dead: parts.dead.into_iter().collect(),
            applied_orders: parts.applied_orders.into(),
            ledger: Ledger::from_records(parts.records),
            service_config: Arc::default(),
        };
        state.load_service_config();
        state
    }

    fn gate(&self, upstream: &Name) -> Gate {
        let state = self.gates.get(upstream).cloned().unwrap_or_default();
        let outstanding = state.outcome.is_none();
        Gate {
            upstream: upstream.clone(),
            holder: state.holder,
            epoch: state.epoch,
            order: state.order.filter(|_| outstanding),
        }
    }

    fn configure(&mut self, configure: &Configure) -> ConfigureReply {
        if let Some(revision) = self.accepted_revision(configure) {
            return ConfigureReply::Accepted { revision };
        }
        if configure.base_revision != self.revision() {
            let current = self.current_config().cloned().unwrap_or_default();
            return ConfigureReply::Conflict {
                current_revision: current.revision,
                current_content_id: current.content_id,
                author: current.author,
            };
        }
        let revision = self.revision() + 1;
        self.revisions.push(ConfigRevision {
            revision,
            base_revision: configure.base_revision,
            content_id: configure.content_id.clone(),
            canonical: configure.canonical.clone(),
            files: configure.files.clone(),
            author: configure.author.clone(),
            at_ms: self.time_ms,
        });
        self.trim_history();
        self.load_service_config();
        ConfigureReply::Accepted { revision }
    }

    fn accepted_revision(&self, configure: &Configure) -> Option<u64> {
        self.revisions
            .iter()
            .rev()
            .find(|earlier| {
                earlier.base_revision == configure.base_revision
                    && earlier.content_id == configure.content_id
            })
            .map(|earlier| earlier.revision)
    }

    // Removes the texts of the oldest revisions beyond the limit. The texts of the current revision are kept even if
    // they exceed the limit.
    fn trim_history(&mut self) {
        let mut kept_bytes = 0;
        for revision in self.revisions.iter_mut().rev() {
            let is_current = kept_bytes == 0;
            kept_bytes += revision.text_bytes();
            if kept_bytes <= MAX_HISTORY_BYTES || is_current {
                continue;
            }
            if revision.canonical.is_empty() && revision.files.is_empty() {
                break;
            }
            revision.files = Vec::new();
            revision.canonical = Name::default();
        }
    }

    // A replica that runs an older version of the software may fail to parse a newer configuration. The replica then
    // keeps the configuration that it parsed last; the canonical text itself is replicated unchanged.
    fn load_service_config(&mut self) {
        let Some(current) = self.revisions.last() else {
            return;
        };
        if let Ok(service_config) = ServiceConfig::from_canonical_text(&current.canonical) {
            self.service_config = Arc::new(service_config);
        }
    }

    fn grant_gate(
        &mut self,
        upstream: &Name,
        holder: &GateHolder,
        from_epoch: u64,
        evidence: GrantEvidence,
    ) -> CommandReply {
        let Some(engine) = self.engines().find(|engine| engine.name == *upstream) else {
            return refused("no such engine");
        };
        let fencing = engine.fencing;
        let gate = self.gates.get(upstream).cloned().unwrap_or_default();
        if gate.holder.as_ref() == Some(holder) {
            return CommandReply::Applied;
        }
        if gate.epoch != from_epoch {
            return refused("the gate was granted to another process meanwhile");
        }
        if !self.is_evidence_sufficient(&gate, holder, fencing, evidence) {
            return refused("the previous holder may still write orders");
        }
        let gate = self.gates.entry(upstream.clone()).or_default();
        gate.holder = Some(holder.clone());
        gate.epoch += 1;
        CommandReply::Applied
    }

    fn is_evidence_sufficient(
        &self,
        gate: &GateState,
        successor: &GateHolder,
        fencing: Fencing,
        evidence: GrantEvidence,
    ) -> bool {
        let Some(holder) = &gate.holder else {
            return true;
        };
        match evidence {
            GrantEvidence::Vacant => false,
            GrantEvidence::LeaseExpired => fencing == Fencing::Enforced,
            GrantEvidence::Restarted => {
                holder.instance == successor.instance && holder.incarnation < successor.incarnation
            }
            GrantEvidence::ReportedGone => true,
            GrantEvidence::ConfirmedDead => {
                let dead_incarnation = self.dead.get(&holder.instance).copied();
                dead_incarnation.is_some_and(|incarnation| incarnation >= holder.incarnation)
            }
        }
    }

    fn release_gate(&mut self, upstream: &Name, holder: &GateHolder, epoch: u64) -> CommandReply {
        if let Some(gate) = self.gates.get_mut(upstream)
            && gate.epoch == epoch
            && gate.holder.as_ref() == Some(holder)
        {
            gate.holder = None;
        }
        CommandReply::Applied
    }

    fn order(&mut self, id: &ProposalId, upstream: &Name, change: &OrderChange) -> CommandReply {
        if self.applied_orders.contains(id) {
            return CommandReply::Applied;
        }
        if !self.engines().any(|engine| engine.name == *upstream) {
            return refused("no such engine");
        }
        let gate = self.gates.entry(upstream.clone()).or_default();
        let outstanding = gate.order.clone().filter(|_| gate.outcome.is_none());
        let change = match &outstanding {
            None => change.clone(),
            Some(order) => match merge_changes(&order.change, change) {
                Some(merged) => merged,
                None => return refused("another order of the same kind is outstanding"),
            },
        };
        let sequence = gate.order.as_ref().map_or(0, |order| order.sequence) + 1;
        gate.order = Some(Order {
            upstream: upstream.clone(),
            sequence,
            change,
        });
        gate.outcome = None;
        self.record_applied_order(id);
        CommandReply::Applied
    }

    fn record_applied_order(&mut self, id: &ProposalId) {
        if self.applied_orders.len() == MAX_APPLIED_ORDERS {
            self.applied_orders.pop_front();
        }
        self.applied_orders.push_back(id.clone());
    }

    fn order_done(
        &mut self,
        upstream: &Name,
        epoch: u64,
        sequence: u64,
        outcome: OrderOutcome,
    ) -> CommandReply {
        let Some(gate) = self.gates.get_mut(upstream) else {
            return refused("no such gate");
        };
        let current = gate.order.as_ref().map_or(0, |order| order.sequence);
        if gate.epoch == epoch && current == sequence && gate.outcome.is_none() {
            gate.outcome = Some(outcome);
        }
        CommandReply::Applied
    }

    fn drain(&mut self, target: &DrainTarget, draining: bool) -> CommandReply {
        if let DrainTarget::Upstream(name) = target
            && !self
                .service_config
                .upstreams
                .iter()
                .any(|u| u.name == *name)
        {
            return refused("no such upstream");
        }
        if draining {
            self.drains.insert(target.clone());
        } else {
            self.drains.remove(target);
        }
        CommandReply::Applied
    }

    fn confirm_dead(&mut self, instance: &Name, incarnation: u64) -> CommandReply {
        let highest = self.dead.entry(instance.clone()).or_default();
        *highest = (*highest).max(incarnation);
        CommandReply::Applied
    }
}

/// Returns the upstreams of model services.
pub fn engines(services: &ServiceConfig) -> impl Iterator<Item = &Upstream> {
    services.upstreams.iter().filter(|upstream| {
        services
            .services
            .iter()
            .any(|service| service.name == upstream.service && service.kind == ServiceKind::Model)
    })
}

fn refused(reason: &'static str) -> CommandReply {
    CommandReply::Refused(Name::from_static_str(reason))
}

/// Merges a further change into an outstanding one. A later role replaces an earlier one. Returns `None` for two
/// different loads or two different unloads, which cannot be merged.
fn merge_changes(outstanding: &OrderChange, later: &OrderChange) -> Option<OrderChange> {
    Some(OrderChange {
        role: later.role.or(outstanding.role),
        load: merge_names(&outstanding.load, &later.load)?,
        unload: merge_names(&outstanding.unload, &later.unload)?,
    })
}

fn merge_names(first: &Option<Name>, second: &Option<Name>) -> Option<Option<Name>> {
    match (first, second) {
        (Some(first), Some(second)) if first != second => None,
        (first, second) => Some(first.clone().or_else(|| second.clone())),
    }
}
