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

/// Total size of the texts that are kept for `return-to`, in bytes. Older revisions keep only their
/// ids. At 11,000 tenants one revision has several megabytes, and a node may use 128 MB in all.
const HISTORY_BYTES: usize = 32 * 1024 * 1024;

/// Ids of order proposals that are remembered to recognise one that was proposed again.
const REMEMBERED_ORDERS: usize = 1_024;

/// State that every voter computes from the replicated log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    /// Cluster time in milliseconds since the Unix epoch. It never decreases.
    pub time_ms: u64,
    /// Accepted revisions in order; the last one is current.
    pub revisions: Vec<ConfigRevision>,
    /// Gates by upstream. A gate outlives its upstream, so that its epoch never decreases.
    pub gates: BTreeMap<Name, GateState>,
    /// Drain marks.
    pub drains: BTreeSet<DrainTarget>,
    /// Highest incarnation of each instance that is confirmed dead.
    pub dead: BTreeMap<Name, u64>,
    /// Order proposals that have been applied, oldest first.
    pub applied_orders: VecDeque<ProposalId>,
    /// At-most-once records.
    pub ledger: Ledger,
    services: Arc<ServiceConfig>,
}

/// Right to order an upstream, and its latest order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateState {
    /// Process that holds the right, if any.
    pub holder: Option<GateHolder>,
    /// Epoch of the latest grant.
    pub epoch: u64,
    /// Latest order, if any.
    pub order: Option<Order>,
    /// Outcome of the latest order; `None` while it is outstanding.
    pub outcome: Option<OrderOutcome>,
}

/// The serialisable parts of a [`ControlState`].
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
    /// Applies a committed command. All replicas compute the same reply.
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

    /// Returns the current revision, if any was accepted.
    pub fn current(&self) -> Option<&ConfigRevision> {
        self.revisions.last()
    }

    /// Returns the number of the current revision, 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.current().map_or(0, |current| current.revision)
    }

    /// Returns the current configuration.
    pub fn services(&self) -> &Arc<ServiceConfig> {
        &self.services
    }

    /// Returns the gates of all configured engines.
    pub fn gate_list(&self) -> Vec<Gate> {
        self.engines()
            .map(|engine| self.gate(&engine.name))
            .collect()
    }

    /// Returns the configured upstreams that take orders.
    pub fn engines(&self) -> impl Iterator<Item = &Upstream> {
        engines(&self.services)
    }

    /// Returns the upstreams with a drain mark.
    pub fn draining_upstreams(&self) -> impl Iterator<Item = &Name> {
        self.drains.iter().filter_map(|target| match target {
            DrainTarget::Upstream(name) => Some(name),
            DrainTarget::Instance(_) => None,
        })
    }

    /// Splits the state into its serialisable parts.
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

    /// Rebuilds the state from its parts.
    pub fn from_parts(parts: ControlParts) -> Self {
        let mut state = Self {
            time_ms: parts.time_ms,
            revisions: parts.revisions,
            gates: parts.gates.into_iter().collect(),
            drains: parts.drains.into_iter().collect(),
            dead: parts.dead.into_iter().collect(),
            applied_orders: parts.applied_orders.into(),
            ledger: Ledger::from_records(parts.records),
            services: Arc::default(),
        };
        state.load_services();
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
        if let Some(revision) = self.accepted_before(configure) {
            return ConfigureReply::Accepted { revision };
        }
        if configure.base_revision != self.revision() {
            let current = self.current().cloned().unwrap_or_default();
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
        self.load_services();
        ConfigureReply::Accepted { revision }
    }

    fn accepted_before(&self, configure: &Configure) -> Option<u64> {
        self.revisions
            .iter()
            .rev()
            .find(|earlier| {
                earlier.base_revision == configure.base_revision
                    && earlier.content_id == configure.content_id
            })
            .map(|earlier| earlier.revision)
    }

    // The current revision is always kept whole.
    fn trim_history(&mut self) {
        let mut kept_bytes = 0;
        for revision in self.revisions.iter_mut().rev() {
            let is_first = kept_bytes == 0;
            kept_bytes += revision.text_bytes();
            if kept_bytes <= HISTORY_BYTES || is_first {
                continue;
            }
            if revision.canonical.is_empty() && revision.files.is_empty() {
                break;
            }
            revision.files = Vec::new();
            revision.canonical = Name::default();
        }
    }

    // A replica of an older version may be unable to parse a newer configuration. It then keeps
    // the services it knows; the text itself is replicated unchanged.
    fn load_services(&mut self) {
        let Some(current) = self.revisions.last() else {
            return;
        };
        if let Ok(services) = ServiceConfig::from_canonical_text(&current.canonical) {
            self.services = Arc::new(services);
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
        if !self.evidence_holds(&gate, holder, fencing, evidence) {
            return refused("the previous holder may still write orders");
        }
        let gate = self.gates.entry(upstream.clone()).or_default();
        gate.holder = Some(holder.clone());
        gate.epoch += 1;
        CommandReply::Applied
    }

    fn evidence_holds(
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
                dead_incarnation.is_some_and(|dead| dead >= holder.incarnation)
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
            Some(order) => match merge(&order.change, change) {
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
        self.remember_order(id);
        CommandReply::Applied
    }

    fn remember_order(&mut self, id: &ProposalId) {
        if self.applied_orders.len() == REMEMBERED_ORDERS {
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
            && !self.services.upstreams.iter().any(|u| u.name == *name)
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

/// Joins a further change with an outstanding one. A later role replaces an earlier one; two
/// different loads or unloads can't be joined.
fn merge(outstanding: &OrderChange, further: &OrderChange) -> Option<OrderChange> {
    Some(OrderChange {
        role: further.role.or(outstanding.role),
        load: join(&outstanding.load, &further.load)?,
        unload: join(&outstanding.unload, &further.unload)?,
    })
}

fn join(first: &Option<Name>, second: &Option<Name>) -> Option<Option<Name>> {
    match (first, second) {
        (Some(first), Some(second)) if first != second => None,
        (first, second) => Some(first.clone().or_else(|| second.clone())),
    }
}
