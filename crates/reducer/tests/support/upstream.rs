//! Fakes of a plain service and of an engine that accepts orders.

use conf::{Fencing, Name, Role};
use fleet::{EngineState, Order};
use ledger::Answer;
use reducer::{End, LoadReport, OrderAnswer};

/// A plain service that records every execution of a request.
#[derive(Default)]
pub struct PlainService {
    /// Key of each executed request, and the exchange that sent it.
    pub executions: Vec<(Name, (Name, u64))>,
    pub is_down: bool,
    /// Whether the connection fails after the request has run and before it is answered.
    pub breaks_after_run: bool,
}

impl PlainService {
    pub fn run(&mut self, key: &Name, exchange: (Name, u64)) -> End {
        if self.is_down {
            return End::NotSent;
        }
        self.executions.push((key.clone(), exchange));
        if self.breaks_after_run {
            return End::Broken;
        }
        End::Complete {
            answer: Some(Answer {
                status: 200,
                ..Answer::default()
            }),
        }
    }

    pub fn runs(&self, key: &str) -> usize {
        let runs = self.executions.iter().filter(|(ran, _)| ran == key);
        runs.count()
    }

    pub fn ran(&self, exchange: &(Name, u64)) -> bool {
        self.executions.iter().any(|(_, ran)| ran == exchange)
    }
}

/// An order that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedOrder {
    pub from: Name,
    pub epoch: u64,
    pub order: Order,
}

pub struct Engine {
    pub fencing: Fencing,
    pub role: Role,
    pub epoch: u64,
    pub sequence: u64,
    pub is_down: bool,
    /// Whether the engine answers nothing but keeps its connections open.
    pub is_suspended: bool,
    pub applied_orders: Vec<AppliedOrder>,
    /// Number of chat requests received.
    pub received: usize,
    /// Number of crashes under a request.
    pub crashes: usize,
}

impl Engine {
    pub fn new(fencing: Fencing) -> Self {
        Self {
            fencing,
            role: Role::Mixed,
            epoch: 0,
            sequence: 0,
            is_down: false,
            is_suspended: false,
            applied_orders: Vec::new(),
            received: 0,
            crashes: 0,
        }
    }

    pub fn handle_order(&mut self, from: &Name, epoch: u64, order: &Order) -> OrderAnswer {
        if self.is_down {
            return OrderAnswer::Lost;
        }
        if self.fencing == Fencing::Enforced && epoch < self.epoch {
            return OrderAnswer::Refused("old epoch".into());
        }
        self.epoch = epoch;
        self.sequence = order.sequence;
        self.role = order.change.role.unwrap_or(self.role);
        self.applied_orders.push(AppliedOrder {
            from: from.clone(),
            epoch,
            order: order.clone(),
        });
        OrderAnswer::Accepted
    }

    /// Restarts the engine without any state of earlier orders.
    pub fn crash(&mut self) {
        self.epoch = 0;
        self.sequence = 0;
        self.role = Role::Mixed;
    }

    pub fn read(&self) -> Option<EngineState> {
        (!self.is_down).then(|| EngineState {
            epoch: self.epoch,
            sequence: self.sequence,
            role: Some(self.role),
            models: vec!["lang".into()],
            changing: false,
        })
    }

    pub fn load(&self) -> Option<LoadReport> {
        (!self.is_down && !self.is_suspended).then(|| LoadReport {
            role: Some(self.role),
            models: vec!["lang".into()],
            kv_chunks_total: 64,
            epoch: self.epoch,
            sequence: self.sequence,
            ..LoadReport::default()
        })
    }
}
