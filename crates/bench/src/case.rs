//! Cases that experiments put the policies through.

use serde::{Deserialize, Serialize};
use standin::arrivals::Workload;

/// A workload together with what happens to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Case {
    /// A constant rate and mix.
    Steady,
    /// The mix alternates between prompt-heavy and output-heavy.
    Swing,
    /// The least urgent rank floods.
    FloodLate,
    /// The most urgent rank floods.
    FloodUrgent,
    /// One tenant floods.
    FloodTenant,
    /// An engine is drained and another one crashes.
    EngineLoss,
    /// Load reports are old.
    StaleReports,
}

impl Case {
    /// Every case and its name.
    pub const ALL: [(Self, &'static str); 7] = [
        (Self::Steady, "steady"),
        (Self::Swing, "swing"),
        (Self::FloodLate, "flood_late"),
        (Self::FloodUrgent, "flood_urgent"),
        (Self::FloodTenant, "flood_tenant"),
        (Self::EngineLoss, "engine_loss"),
        (Self::StaleReports, "stale_reports"),
    ];

    /// Name of the case.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(case, _)| *case == self)
            .map_or("", |(_, name)| name)
    }

    /// Shape of the offered load.
    pub fn workload(self) -> Workload {
        match self {
            Self::Swing => Workload::Swing,
            Self::FloodLate => Workload::FloodLate,
            Self::FloodUrgent => Workload::FloodUrgent,
            Self::FloodTenant => Workload::FloodTenant,
            Self::Steady | Self::EngineLoss | Self::StaleReports => Workload::Steady,
        }
    }
}
