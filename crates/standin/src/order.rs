//! Handling of orders by an engine: fencing, role changes, and loading and unloading of models.

use conf::{Fencing, Name, Role};
use serde::{Deserialize, Serialize};

/// Body of `POST /order`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch under which the sender holds the engine's order gate.
    pub epoch: u64,
    /// Sequence number of the order.
    pub sequence: u64,
    /// Role that the engine changes to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// Model or adapter to load, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Name>,
    /// Model or adapter to unload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unload: Option<Name>,
}

/// Decision of an engine on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderDecision {
    /// The engine carries out the order.
    Accepted,
    /// The order equals the last one that the engine accepted.
    Repeated,
    /// The fencing number, which is the epoch and the sequence, is not above that of the last accepted order.
    Stale,
    /// A role change or the loading of a model is still in progress.
    Busy,
}

/// One received order in the response to `GET /debug/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The received order.
    pub order: Order,
    /// Decision of the engine on the order.
    pub outcome: OrderDecision,
}

/// Response to `GET /order` and `POST /order`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Epoch of the last accepted order.
    pub epoch: u64,
    /// Sequence number of the last accepted order.
    pub sequence: u64,
    /// Role in effect.
    pub role: Role,
    /// Loaded models as `MODEL@VERSION` and adapters as `MODEL:ADAPTER`.
    pub models: Vec<Name>,
    /// Role that the engine is changing to, if any.
    pub changing_to: Option<Role>,
    /// Model or adapter that is being loaded, if any.
    pub loading: Option<Name>,
}

/// Decides on the orders to an engine and tracks their effect on its role and models.
#[derive(Clone, Debug)]
pub struct OrderHandler {
    fencing: Fencing,
    state: OrderState,
    last_accepted: Option<Order>,
    role_change_ends_ms: f64,
    records: Vec<OrderRecord>,
}

impl OrderHandler {
    /// Creates the state of an engine that has received no order.
    pub fn new(fencing: Fencing, role: Role, models: Vec<Name>) -> Self {
        let state = OrderState {
            role,
            models,
            ..OrderState::default()
        };
        Self {
            fencing,
            state,
            last_accepted: None,
            role_change_ends_ms: 0.0,
            records: Vec::new(),
        }
    }

    /// Returns the state that `GET /order` reports.
    pub fn state(&self) -> &OrderState {
        &self.state
    }

    /// Returns all received orders, oldest first.
    pub fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    /// Returns whether a role change is in progress.
    pub fn is_changing(&self) -> bool {
        self.state.changing_to.is_some()
    }

    /// Returns whether `model`, given as `MODEL` or `MODEL:ADAPTER`, is loaded.
    pub fn serves(&self, model: &str) -> bool {
        self.state
            .models
            .iter()
            .any(|loaded| loaded == model || base_name(loaded) == model)
    }

    /// Decides on an order at `now_ms` and applies it if accepted. A role change takes at least `role_change_ms`.
    pub fn receive(&mut self, order: Order, now_ms: f64, role_change_ms: f64) -> OrderDecision {
        let outcome = self.decide(&order);
        self.records.push(OrderRecord {
            order: order.clone(),
            outcome,
        });
        if outcome == OrderDecision::Accepted {
            self.apply(order, now_ms + role_change_ms);
        }
        outcome
    }

    /// Completes a role change if its time has passed and the engine is idle.
    pub fn finish_role_change(&mut self, now_ms: f64, idle: bool) {
        if !idle || now_ms < self.role_change_ends_ms {
            return;
        }
        if let Some(role) = self.state.changing_to.take() {
            self.state.role = role;
        }
    }

    /// Abandons the loading of `name`.
    pub fn abandon_load(&mut self, name: &Name) {
        if self.state.loading.as_ref() == Some(name) {
            self.state.loading = None;
        }
    }

    /// Completes the loading of `name`. A new version of a model replaces the old one.
    pub fn finish_load(&mut self, name: &Name) {
        if self.state.loading.as_ref() != Some(name) {
            return;
        }
        self.state.loading = None;
        let is_replaced =
            |loaded: &Name| loaded.contains('@') && base_name(loaded) == base_name(name);
        if name.contains('@') {
            self.state.models.retain(|loaded| !is_replaced(loaded));
        }
        if !self.state.models.contains(name) {
            self.state.models.push(name.clone());
        }
    }

    fn decide(&self, order: &Order) -> OrderDecision {
        if self.last_accepted.as_ref() == Some(order) {
            return OrderDecision::Repeated;
        }
        let fencing_number = (order.epoch, order.sequence);
        let last_number = (self.state.epoch, self.state.sequence);
        let is_stale = self.last_accepted.is_some() && fencing_number <= last_number;
        if self.fencing == Fencing::Enforced && is_stale {
            return OrderDecision::Stale;
        }
        if self.is_changing() || self.state.loading.is_some() {
            return OrderDecision::Busy;
        }
        OrderDecision::Accepted
    }

    fn apply(&mut self, order: Order, role_change_ends_ms: f64) {
        self.state.epoch = order.epoch;
        self.state.sequence = order.sequence;
        if let Some(role) = order.role.filter(|role| *role != self.state.role) {
            self.state.changing_to = Some(role);
            self.role_change_ends_ms = role_change_ends_ms;
        }
        if let Some(unload) = &order.unload {
            self.state
                .models
                .retain(|loaded| loaded != unload && base_name(loaded) != unload.as_str());
        }
        if let Some(load) = &order.load
            && !self.state.models.contains(load)
        {
            self.state.loading = Some(load.clone());
        }
        self.last_accepted = Some(order);
    }
}

/// Returns the name of a model without its version, or the unchanged name of an adapter.
fn base_name(loaded: &str) -> &str {
    loaded.split('@').next().unwrap_or(loaded)
}
