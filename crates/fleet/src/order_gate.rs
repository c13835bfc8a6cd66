//! The holder's side of a gate: writes committed orders to engines, one at a time for each.

use std::collections::BTreeMap;

use conf::{Name, Role};

use crate::command::{Command, GateHolder, Order, OrderOutcome};
use crate::message::{ClusterView, Gate};

/// Time after which an unanswered read or order counts as lost, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 5_000;

/// Interval at which an engine's state is read while an order takes effect, in milliseconds.
const READ_INTERVAL_MS: u64 = 200;

/// Interval at which the outcome of an order is proposed until the view shows it, in milliseconds.
const PROPOSE_INTERVAL_MS: u64 = 1_000;

/// An engine's state, as read back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Highest epoch accepted.
    pub epoch: u64,
    /// Sequence of the last order accepted.
    pub sequence: u64,
    /// Role in effect; `None` while it changes.
    pub role: Option<Role>,
    /// Models and adapters that are loaded.
    pub models: Vec<Name>,
    /// Whether an accepted order is still taking effect.
    pub changing: bool,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Accepted; it may still be taking effect.
    Accepted,
    /// Refused.
    Refused(Name),
    /// No answer; the engine's state is unknown.
    Lost,
}

/// What the holder of a gate does next.
#[derive(Clone, Debug, PartialEq)]
pub enum GateAction {
    /// Read the engine's state.
    Read { upstream: Name },
    /// Write an order to the engine.
    Send {
        upstream: Name,
        epoch: u64,
        order: Order,
    },
    /// Propose a command.
    Propose(Command),
}

/// Gates that this process holds.
#[derive(Clone, Debug)]
pub struct OrderGate {
    holder: GateHolder,
    duties: BTreeMap<Name, Duty>,
}

#[derive(Clone, Debug)]
struct Duty {
    epoch: u64,
    order: Option<Order>,
    phase: Phase,
    next_release_ms: u64,
}

/// Progress of the engine's current order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The engine's state is unknown; it is read before anything is written.
    Unknown,
    /// A read is under way.
    Reading { deadline_ms: u64 },
    /// The engine is known not to have the order.
    Known,
    /// The order was written; no answer yet.
    Sending { deadline_ms: u64 },
    /// The order was accepted and takes effect.
    Settling { next_read_ms: u64 },
    /// The order has ended; its outcome is proposed until the view shows it.
    Ended {
        outcome: OrderOutcome,
        next_propose_ms: u64,
    },
    /// A later epoch is in effect; another process holds the gate.
    Superseded,
}

impl OrderGate {
    /// Creates the gate of a process that holds nothing yet.
    pub fn new(holder: GateHolder) -> Self {
        Self {
            holder,
            duties: BTreeMap::new(),
        }
    }

    /// Returns the number of gates held.
    pub fn len(&self) -> usize {
        self.duties.len()
    }

    /// Returns whether no gate is held.
    pub fn is_empty(&self) -> bool {
        self.duties.is_empty()
    }

    /// Takes over the gates and orders of a new view.
    pub fn on_view(&mut self, view: &ClusterView) {
        let held: BTreeMap<&Name, &Gate> = view
            .gates
            .iter()
            .filter(|gate| gate.holder.as_ref() == Some(&self.holder))
            .map(|gate| (&gate.upstream, gate))
            .collect();
        self.duties
            .retain(|upstream, _| held.contains_key(upstream));
        for (upstream, gate) in held {
            self.duties
                .entry(upstream.clone())
                .and_modify(|duty| duty.update(gate))
                .or_insert_with(|| Duty::new(gate));
        }
    }

    /// Returns the actions that are due. Without a valid lease nothing is written to engines.
    pub fn tick(&mut self, now_ms: u64, holds_lease: bool, is_leaving: bool) -> Vec<GateAction> {
        if !holds_lease {
            return Vec::new();
        }
        let holder = &self.holder;
        self.duties
            .iter_mut()
            .filter_map(|(upstream, duty)| duty.tick(now_ms, upstream, holder, is_leaving))
            .collect()
    }

    /// Takes an engine's state that was read, `None` if it could not be.
    pub fn on_read(&mut self, now_ms: u64, upstream: &Name, state: Option<&EngineState>) {
        if let Some(duty) = self.duties.get_mut(upstream) {
            duty.on_read(now_ms, state);
        }
    }

    /// Takes an engine's answer to the order `sequence`.
    pub fn on_answer(
        &mut self,
        now_ms: u64,
        upstream: &Name,
        epoch: u64,
        sequence: u64,
        answer: &OrderAnswer,
    ) {
        if let Some(duty) = self.duties.get_mut(upstream)
            && duty.epoch == epoch
        {
            duty.on_answer(now_ms, sequence, answer);
        }
    }
}

impl Duty {
    fn new(gate: &Gate) -> Self {
        Self {
            epoch: gate.epoch,
            order: gate.order.clone(),
            phase: Phase::Unknown,
            next_release_ms: 0,
        }
    }

    fn update(&mut self, gate: &Gate) {
        if gate.epoch != self.epoch {
            *self = Self::new(gate);
            return;
        }
        if self.order == gate.order {
            return;
        }
        self.order = gate.order.clone();
        // A write that is under way ends first: one order is outstanding for each engine.
        if !self.is_writing() {
            self.phase = Phase::Unknown;
        }
    }

    fn is_writing(&self) -> bool {
        matches!(self.phase, Phase::Sending { .. })
    }

    fn tick(
        &mut self,
        now_ms: u64,
        upstream: &Name,
        holder: &GateHolder,
        is_leaving: bool,
    ) -> Option<GateAction> {
        self.expire(now_ms);
        if is_leaving && !self.is_writing() {
            return self.release(now_ms, upstream, holder);
        }
        let order = self.order.clone()?;
        match self.phase {
            Phase::Unknown => Some(self.read(now_ms, upstream)),
            Phase::Settling { next_read_ms } if now_ms >= next_read_ms => {
                Some(self.read(now_ms, upstream))
            }
            Phase::Known => {
                self.phase = Phase::Sending {
                    deadline_ms: now_ms + ANSWER_TIMEOUT_MS,
                };
                Some(GateAction::Send {
                    upstream: upstream.clone(),
                    epoch: self.epoch,
                    order,
                })
            }
            Phase::Ended {
                outcome,
                next_propose_ms,
            } if now_ms >= next_propose_ms => {
                self.phase = Phase::Ended {
                    outcome,
                    next_propose_ms: now_ms + PROPOSE_INTERVAL_MS,
                };
                Some(GateAction::Propose(Command::OrderDone {
                    upstream: upstream.clone(),
                    epoch: self.epoch,
                    sequence: order.sequence,
                    outcome,
                }))
            }
            _ => None,
        }
    }

    fn release(&mut self, now_ms: u64, upstream: &Name, holder: &GateHolder) -> Option<GateAction> {
        if now_ms < self.next_release_ms {
            return None;
        }
        self.next_release_ms = now_ms + PROPOSE_INTERVAL_MS;
        // The next holder reads the engine back, so nothing is written after the proposal.
        self.phase = Phase::Superseded;
        Some(GateAction::Propose(Command::ReleaseGate {
            upstream: upstream.clone(),
            holder: holder.clone(),
            epoch: self.epoch,
        }))
    }

    fn expire(&mut self, now_ms: u64) {
        if let Phase::Reading { deadline_ms } | Phase::Sending { deadline_ms } = self.phase
            && now_ms >= deadline_ms
        {
            self.phase = Phase::Unknown;
        }
    }

    fn read(&mut self, now_ms: u64, upstream: &Name) -> GateAction {
        self.phase = Phase::Reading {
            deadline_ms: now_ms + ANSWER_TIMEOUT_MS,
        };
        GateAction::Read {
            upstream: upstream.clone(),
        }
    }

    fn on_read(&mut self, now_ms: u64, state: Option<&EngineState>) {
        if !matches!(self.phase, Phase::Reading { .. }) {
            return;
        }
        let Some(state) = state else {
            self.phase = Phase::Settling {
                next_read_ms: now_ms + READ_INTERVAL_MS,
            };
            return;
        };
        let sequence = self.order.as_ref().map_or(0, |order| order.sequence);
        self.phase = if state.epoch > self.epoch {
            Phase::Superseded
        } else if state.changing {
            // The previous order is still taking effect, possibly one from an earlier holder.
            Phase::Settling {
                next_read_ms: now_ms + READ_INTERVAL_MS,
            }
        } else if state.sequence >= sequence {
            ended(OrderOutcome::Done)
        } else {
            Phase::Known
        };
    }

    fn on_answer(&mut self, now_ms: u64, sequence: u64, answer: &OrderAnswer) {
        if !self.is_writing() {
            return;
        }
        let is_current = self.order.as_ref().is_some_and(|o| o.sequence == sequence);
        self.phase = match answer {
            _ if !is_current => Phase::Unknown,
            OrderAnswer::Accepted => Phase::Settling {
                next_read_ms: now_ms + READ_INTERVAL_MS,
            },
            OrderAnswer::Refused(_) => ended(OrderOutcome::Refused),
            OrderAnswer::Lost => Phase::Unknown,
        };
    }
}

fn ended(outcome: OrderOutcome) -> Phase {
    Phase::Ended {
        outcome,
        next_propose_ms: 0,
    }
}
