//! Cases in which experiments compare the policies.

use serde::{Deserialize, Serialize};
use standin::arrivals::Workload;

/// A workload, and the faults of engines during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Case {
    /// The request rate and the mix of prompts and outputs are constant.
    Steady,
    /// The mix alternates between long prompts and long outputs.
    Swing,
    /// A flood of requests of the least urgent rank, at `flood_factor` times the capacity, in the middle of the run.
    FloodLate,
    /// A flood of requests of the most urgent rank, at `flood_factor` times the capacity, in the middle of the run.
    FloodUrgent,
    /// A flood of requests of one client account, at `flood_factor` times the capacity, in the middle of the run.
    #[serde(rename = "flood_tenant")]
    FloodClientAccount,
    /// One engine is drained, and later another one crashes.
    EngineLoss,
    /// The engines' load reports are stale.
    StaleReports,
}

impl Case {
    /// Every case with its name in settings and tables.
    pub const ALL: [(Self, &'static str); 7] = [
        (Self::Steady, "steady"),
        (Self::Swing, "swing"),
        (Self::FloodLate, "flood_late"),
        (Self::FloodUrgent, "flood_urgent"),
        (Self::FloodClientAccount, "flood_tenant"),
        (Self::EngineLoss, "engine_loss"),
        (Self::StaleReports, "stale_reports"),
    ];

    /// Returns the name of the case.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(case, _)| *case == self)
            .map_or("", |(_, name)| name)
    }

    /// Returns the workload that is offered in the case.
    pub fn workload(self) -> Workload {
        match self {
            Self::Swing => Workload::Swing,
            Self::FloodLate => Workload::FloodLate,
            Self::FloodUrgent => Workload::FloodUrgent,
            Self::FloodClientAccount => Workload::FloodClientAccount,
            Self::Steady | Self::EngineLoss | Self::StaleReports => Workload::Steady,
        }
    }
}
