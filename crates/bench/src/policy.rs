//! Policies that experiments compare.

use conf::settings::{Decisions, Planning, Queueing, Routing};
use serde::{Deserialize, Serialize};

/// How instances route requests, queue them and plan the roles of engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The default settings of mustardstack.
    Own,
    /// Routes to the engine with the fewest open exchanges; single queue, static roles.
    LeastOutstanding,
    /// Routes to each engine in turn; single queue, static roles.
    RoundRobin,
    /// Routes by a hash of the first prompt chunk; single queue, static roles.
    PrefixHash,
    /// The default settings of mustardstack, but with a single queue for all ranks.
    RanksOff,
}

impl Policy {
    /// Every policy with its name in settings and tables.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::Own, "own"),
        (Self::LeastOutstanding, "least_outstanding"),
        (Self::RoundRobin, "round_robin"),
        (Self::PrefixHash, "prefix_hash"),
        (Self::RanksOff, "ranks_off"),
    ];

    /// Returns the name of the policy.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(policy, _)| *policy == self)
            .map_or("", |(_, name)| name)
    }

    /// Returns the `decisions` settings of instances under the policy.
    pub fn decisions(self) -> Decisions {
        let static_single_queue = |routing| Decisions {
            routing,
            queueing: Queueing::SingleQueue,
            planning: Planning::Static,
        };
        match self {
            Self::Own => Decisions::default(),
            Self::LeastOutstanding => static_single_queue(Routing::LeastOutstanding),
            Self::RoundRobin => static_single_queue(Routing::RoundRobin),
            Self::PrefixHash => static_single_queue(Routing::PrefixHash),
            Self::RanksOff => Decisions {
                queueing: Queueing::SingleQueue,
                ..Decisions::default()
            },
        }
    }
}
