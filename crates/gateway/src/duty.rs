//! Calls to the platform that only the leader of the log makes.

use std::sync::Arc;

use conf::Name;

/// A call to the platform. A call that was not answered may still be carried out, so that it is repeated with the same
/// content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Reports the requests of client accounts that upstreams began to run in a window.
    ReportUsage {
        /// Number of the window, counted from the Unix epoch.
        window: u64,
        /// Requests by client account, sorted by name.
        counts: Arc<[(Name, u64)]>,
    },
    /// Orders a number of upstreams of a service in an availability zone.
    OrderUpstreams {
        service: Name,
        availability_zone: Name,
        /// Number of upstreams of the kind.
        count: u32,
        /// Whether the order is for upstreams that the platform may reclaim.
        is_reclaimable: bool,
    },
}

/// How a call to the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyOutcome {
    /// The platform has carried out the call.
    Accepted,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The platform has no upstreams of the kind at present.
    NoneAvailable,
    /// The platform accepts no further calls at present.
    Limited,
    /// The platform did not answer; it may still carry out the call.
    Unknown,
}

impl DutyOutcome {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Fenced => "fenced",
            Self::NoneAvailable => "none_available",
            Self::Limited => "limited",
            Self::Unknown => "unknown",
        }
    }
}
