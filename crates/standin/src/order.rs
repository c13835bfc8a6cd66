//! Orders to an engine: fencing, role changes and loaded models.

use conf::{Fencing, Name, Role};
use serde::{Deserialize, Serialize};

/// Body of `POST /order`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch of the sender's right to write orders.
    pub epoch: u64,
    /// Number of the order.
    pub sequence: u64,
    /// Role to take.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// Model or adapter to load, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Name>,
    /// Model or adapter to unload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unload: Option<Name>,
}

/// What an engine did with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The engine carries it out.
    Accepted,
    /// The engine had accepted the same order before.
    Repeated,
    /// The fencing number is old.
    Stale,
    /// Another order is still in progress.
    Busy,
}

/// One received order, for `GET /debug/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order as received.
    pub order: Order,
    /// What the engine did with it.
    pub outcome: Outcome,
}

/// Reply of `GET /order` and `POST /order`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Epoch of the last accepted order.
    pub epoch: u64,
    /// Sequence of the last accepted order.
    pub sequence: u64,
    /// Role now in effect.
    pub role: Role,
    /// Loaded models as `MODEL@VERSION` and adapters as `MODEL:ADAPTER`.
    pub models: Vec<Name>,
    /// Role that the engine is changing to.
    pub changing_to: Option<Role>,
    /// Model or adapter that is being loaded.
    pub loading: Option<Name>,
}

/// The engine's side of the orders.
#[derive(Clone, Debug)]
pub struct Orders {
    fencing: Fencing,
    state: OrderState,
    last: Option<Order>,
    role_change_ends_ms: f64,
    records: Vec<OrderRecord>,
}

impl Orders {
    /// Creates the state of an engine that has had no order yet.
    pub fn new(fencing: Fencing, role: Role, models: Vec<Name>) -> Self {
        let state = OrderState {
            role,
            models,
            ..OrderState::default()
        };
        Self {
            fencing,
            state,
            last: None,
            role_change_ends_ms: 0.0,
            records: Vec::new(),
        }
    }

    /// State as `GET /order` reports it.
    pub fn state(&self) -> &OrderState {
        &self.state
    }

    /// Every order received.
    pub fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    /// Whether a role change is going on.
    pub fn is_changing(&self) -> bool {
        self.state.changing_to.is_some()
    }

    /// Whether `model` is loaded, given as `MODEL` or `MODEL:ADAPTER`.
    pub fn serves(&self, model: &str) -> bool {
        self.state
            .models
            .iter()
            .any(|loaded| loaded == model || base_name(loaded) == model)
    }

    /// Receives an order at `now_ms`. A role change ends `role_change_ms` later.
    pub fn receive(&mut self, order: Order, now_ms: f64, role_change_ms: f64) -> Outcome {
        let outcome = self.judge(&order);
        self.records.push(OrderRecord {
            order: order.clone(),
            outcome,
        });
        if outcome == Outcome::Accepted {
            self.accept(order, now_ms + role_change_ms);
        }
        outcome
    }

    /// Ends a role change whose time is over.
    pub fn finish_role_change(&mut self, now_ms: f64, idle: bool) {
        if !idle || now_ms < self.role_change_ends_ms {
            return;
        }
        if let Some(role) = self.state.changing_to.take() {
            self.state.role = role;
        }
    }

    /// Gives up the load of `name`.
    pub fn fail_load(&mut self, name: &Name) {
        if self.state.loading.as_ref() == Some(name) {
            self.state.loading = None;
        }
    }

    /// Ends the load of `name`. A new version takes the place of the old one.
    pub fn finish_load(&mut self, name: &Name) {
        if self.state.loading.as_ref() != Some(name) {
            return;
        }
        self.state.loading = None;
        let replaced = |loaded: &Name| loaded.contains('@') && base_name(loaded) == base_name(name);
        if name.contains('@') {
            self.state.models.retain(|loaded| !replaced(loaded));
        }
        if !self.state.models.contains(name) {
            self.state.models.push(name.clone());
        }
    }

    fn judge(&self, order: &Order) -> Outcome {
        if self.last.as_ref() == Some(order) {
            return Outcome::Repeated;
        }
        let number = (order.epoch, order.sequence);
        let known = (self.state.epoch, self.state.sequence);
        let is_old = self.last.is_some() && number <= known;
        if self.fencing == Fencing::Enforced && is_old {
            return Outcome::Stale;
        }
        if self.is_changing() || self.state.loading.is_some() {
            return Outcome::Busy;
        }
        Outcome::Accepted
    }

    fn accept(&mut self, order: Order, role_change_ends_ms: f64) {
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
        self.last = Some(order);
    }
}

/// Name of a model without its version. The name of an adapter stays whole.
fn base_name(loaded: &str) -> &str {
    loaded.split('@').next().unwrap_or(loaded)
}
