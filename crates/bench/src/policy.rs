//! Policies that experiments compare.

use conf::settings::{Decisions, Planning, Queueing, Routing};
use serde::{Deserialize, Serialize};

/// A way to take decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The project's own decisions.
    Own,
    /// Fewest open exchanges, one queue, fixed roles.
    LeastOutstanding,
    /// Each engine in turn, one queue, fixed roles.
    RoundRobin,
    /// Hash of the first chunk, one queue, fixed roles.
    PrefixHash,
    /// The project's own decisions without ranks.
    RanksOff,
}

impl Policy {
    /// Every policy and its name.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::Own, "own"),
        (Self::LeastOutstanding, "least_outstanding"),
        (Self::RoundRobin, "round_robin"),
        (Self::PrefixHash, "prefix_hash"),
        (Self::RanksOff, "ranks_off"),
    ];

    /// Name of the policy.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(policy, _)| *policy == self)
            .map_or("", |(_, name)| name)
    }

    /// Settings of an instance that follows the policy.
    pub fn decisions(self) -> Decisions {
        let naive = |routing| Decisions {
            routing,
            queueing: Queueing::SingleQueue,
            planning: Planning::Static,
        };
        match self {
            Self::Own => Decisions::default(),
            Self::LeastOutstanding => naive(Routing::LeastOutstanding),
            Self::RoundRobin => naive(Routing::RoundRobin),
            Self::PrefixHash => naive(Routing::PrefixHash),
            Self::RanksOff => Decisions {
                queueing: Queueing::SingleQueue,
                ..Decisions::default()
            },
        }
    }
}
