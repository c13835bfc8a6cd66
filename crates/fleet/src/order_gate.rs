//! The holder of gates sends committed orders to engines, one order at a time to each engine.

use std::collections::BTreeMap;

use conf::{Name, Role};

use crate::command::{Command, GateHolder, Order, OrderOutcome};
use crate::message::{ClusterView, Gate};

/// Time after which an unanswered read or order is treated as lost, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 5_000;

/// Interval at which an engine's state is read while an order takes effect, in milliseconds.
const READ_INTERVAL_MS: u64 = 200;

/// Interval at which the outcome of an order is proposed until the view shows it, in milliseconds.
const PROPOSE_INTERVAL_MS: u64 = 1_000;

/// State that was read from an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Highest epoch that the engine has accepted.
    pub epoch: u64,
    /// Sequence of the last order that the engine has accepted.
    pub sequence: u64,
    /// Role in effect; `None` while the role changes.
    pub role: Option<Role>,
    /// Models and adapters that are loaded.
    pub models: Vec<Name>,
    /// Whether an accepted order is still taking effect.
    pub changing: bool,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted the order, which may still be taking effect.
    Accepted,
    /// The engine refused the order; holds the reason.
    Refused(Name),
    /// No answer arrived, so it is unknown whether the engine has the order.
    Lost,
}

/// Next action of the holder of a gate.
#[derive(Clone, Debug, PartialEq)]
pub enum GateAction {
    /// Read the engine's state.
    Read { upstream: Name },
    /// Send an order to the engine.
    Send {
        upstream: Name,
        epoch: u64,
        order: Order,
    },
    /// Propose a command for the replicated log.
    Propose(Command),
}

/// Sends orders to the engines whose gates this process holds.
#[derive(Clone, Debug)]
pub struct OrderSender {
    holder: GateHolder,
    held_gates: BTreeMap<Name, HeldGate>,
}

#[derive(Clone, Debug)]
struct HeldGate {
    epoch: u64,
    order: Option<Order>,
    phase: OrderPhase,
    next_release_ms: u64,
}

/// Progress of the current order of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderPhase {
    /// The engine's state is unknown and must be read before an order is sent.
    Unknown,
    /// A read of the engine's state is in progress.
    Reading { deadline_ms: u64 },
    /// The engine was read and does not have the order yet.
    ReadyToSend,
    /// The order was sent and has not been answered yet.
    Sending { deadline_ms: u64 },
    /// An accepted order is still taking effect, or the last read failed; the engine is read again.
    Applying { next_read_ms: u64 },
    /// The order has ended; its outcome is proposed until the cluster view shows it.
    Ended {
        outcome: OrderOutcome,
        next_propose_ms: u64,
    },
    /// The engine has seen a later epoch, or this process has proposed to release the gate. No order
    /// is sent any more.
    Superseded,
}

impl OrderSender {
    /// Creates the order sender of a process that holds no gates yet.
    pub fn new(holder: GateHolder) -> Self {
        Self {
            holder,
            held_gates: BTreeMap::new(),
        }
    }

    /// Returns the number of gates held.
    pub fn len(&self) -> usize {
        self.held_gates.len()
    }

    /// Returns whether no gate is held.
    pub fn is_empty(&self) -> bool {
        self.held_gates.is_empty()
    }

    /// Updates the held gates and their orders from a new cluster view.
    pub fn on_view(&mut self, view: &ClusterView) {
        let held: BTreeMap<&Name, &Gate> = view
            .gates
            .iter()
            .filter(|gate| gate.holder.as_ref() == Some(&self.holder))
            .map(|gate| (&gate.upstream, gate))
            .collect();
        self.held_gates
            .retain(|upstream, _| held.contains_key(upstream));
        for (upstream, gate) in held {
            self.held_gates
                .entry(upstream.clone())
                .and_modify(|held_gate| held_gate.update(gate))
                .or_insert_with(|| HeldGate::new(gate));
        }
    }

    /// Returns the actions that are due, at most one for each held gate, or none without a valid gate lease.
    pub fn tick(&mut self, now_ms: u64, holds_lease: bool, is_draining: bool) -> Vec<GateAction> {
        if !holds_lease {
            return Vec::new();
        }
        let holder = &self.holder;
        self.held_gates
            .iter_mut()
            .filter_map(|(upstream, gate)| gate.tick(now_ms, upstream, holder, is_draining))
            .collect()
    }

    /// Handles the result of a read of an engine's state; `None` means that the read failed.
    pub fn on_read(&mut self, now_ms: u64, upstream: &Name, state: Option<&EngineState>) {
        if let Some(held_gate) = self.held_gates.get_mut(upstream) {
            held_gate.on_read(now_ms, state);
        }
    }

    /// Handles an engine's answer to the order `sequence`.
    pub fn on_answer(
        &mut self,
        now_ms: u64,
        upstream: &Name,
        epoch: u64,
        sequence: u64,
        answer: &OrderAnswer,
    ) {
        if let Some(held_gate) = self.held_gates.get_mut(upstream)
            && held_gate.epoch == epoch
        {
            held_gate.on_answer(now_ms, sequence, answer);
        }
    }
}

impl HeldGate {
    fn new(gate: &Gate) -> Self {
        Self {
            epoch: gate.epoch,
            order: gate.order.clone(),
            phase: OrderPhase::Unknown,
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
        // An order that was sent must be answered first: at most one order is in flight to each engine.
        if !self.is_sending() {
            self.phase = OrderPhase::Unknown;
        }
    }

    fn is_sending(&self) -> bool {
        matches!(self.phase, OrderPhase::Sending { .. })
    }

    fn tick(
        &mut self,
        now_ms: u64,
        upstream: &Name,
        holder: &GateHolder,
        is_draining: bool,
    ) -> Option<GateAction> {
        self.expire_deadline(now_ms);
        if is_draining && !self.is_sending() {
            return self.release(now_ms, upstream, holder);
        }
        let order = self.order.clone()?;
        match self.phase {
            OrderPhase::Unknown => Some(self.read(now_ms, upstream)),
            OrderPhase::Applying { next_read_ms } if now_ms >= next_read_ms => {
                Some(self.read(now_ms, upstream))
            }
            OrderPhase::ReadyToSend => {
                self.phase = OrderPhase::Sending {
                    deadline_ms: now_ms + ANSWER_TIMEOUT_MS,
                };
                Some(GateAction::Send {
                    upstream: upstream.clone(),
                    epoch: self.epoch,
                    order,
                })
            }
            OrderPhase::Ended {
                outcome,
                next_propose_ms,
            } if now_ms >= next_propose_ms => {
                self.phase = OrderPhase::Ended {
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
        // The next holder may read the engine at any time from now on, so no order is sent after the proposal.
        self.phase = OrderPhase::Superseded;
        Some(GateAction::Propose(Command::ReleaseGate {
            upstream: upstream.clone(),
            holder: holder.clone(),
            epoch: self.epoch,
        }))
    }

    fn expire_deadline(&mut self, now_ms: u64) {
        if let OrderPhase::Reading { deadline_ms } | OrderPhase::Sending { deadline_ms } =
            self.phase
            && now_ms >= deadline_ms
        {
            self.phase = OrderPhase::Unknown;
        }
    }

    fn read(&mut self, now_ms: u64, upstream: &Name) -> GateAction {
        self.phase = OrderPhase::Reading {
            deadline_ms: now_ms + ANSWER_TIMEOUT_MS,
        };
        GateAction::Read {
            upstream: upstream.clone(),
        }
    }

    fn on_read(&mut self, now_ms: u64, state: Option<&EngineState>) {
        if !matches!(self.phase, OrderPhase::Reading { .. }) {
            return;
        }
        let Some(state) = state else {
            self.phase = OrderPhase::Applying {
                next_read_ms: now_ms + READ_INTERVAL_MS,
            };
            return;
        };
        let sequence = self.order.as_ref().map_or(0, |order| order.sequence);
        self.phase = if state.epoch > self.epoch {
            OrderPhase::Superseded
        } else if state.changing {
            // An earlier order, possibly of an earlier holder, is still taking effect.
            OrderPhase::Applying {
                next_read_ms: now_ms + READ_INTERVAL_MS,
            }
        } else if state.sequence >= sequence {
            ended_phase(OrderOutcome::Done)
        } else {
            OrderPhase::ReadyToSend
        };
    }

    fn on_answer(&mut self, now_ms: u64, sequence: u64, answer: &OrderAnswer) {
        if !self.is_sending() {
            return;
        }
        let is_current = self.order.as_ref().is_some_and(|o| o.sequence == sequence);
        self.phase = match answer {
            _ if !is_current => OrderPhase::Unknown,
            OrderAnswer::Accepted => OrderPhase::Applying {
                next_read_ms: now_ms + READ_INTERVAL_MS,
            },
            OrderAnswer::Refused(_) => ended_phase(OrderOutcome::Refused),
            OrderAnswer::Lost => OrderPhase::Unknown,
        };
    }
}

fn ended_phase(outcome: OrderOutcome) -> OrderPhase {
    OrderPhase::Ended {
        outcome,
        next_propose_ms: 0,
    }
}
