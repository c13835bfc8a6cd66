//! Settings of an instance.

use std::path::PathBuf;

use conf::Name;
use fleet::InstanceInfo;
use gateway::KeyPolicy;
use gateway::budget::RetryBudgetSettings;
use gateway::duties::DutySettings;
use gateway::prefix::PrefixPlacement;

use crate::memory;

/// Time before the end of the grace period at which a stopping instance no longer waits, in milliseconds.
const GRACE_MARGIN_MS: u64 = 400;

/// Role of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceRole {
    /// Receives the requests of callers.
    #[default]
    Entry,
    /// Runs a replica and answers the calls of operators.
    Control,
}

impl InstanceRole {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
        }
    }
}

/// Settings of an instance. Addresses are IP addresses and ports.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Role of the instance.
    pub role: InstanceRole,
    /// Identity and peer address of the instance.
    pub info: InstanceInfo,
    /// Address of the listener for callers.
    pub caller_address: Name,
    /// Address of the listener for the load balancer's readiness checks.
    pub ready_address: Name,
    /// Address of the listener for operators.
    pub operator_address: Name,
    /// Address of the listener for metrics.
    pub metrics_address: Name,
    /// Folder of the replica's files.
    pub data_folder: PathBuf,
    /// Instances that may be replicas of the log.
    pub contacts: Vec<InstanceInfo>,
    /// Initial voters of the log; empty unless the whole system starts for the first time.
    pub founders: Vec<Name>,
    /// Target number of voters.
    pub target_voters: usize,
    /// Lease of the right to give orders to engines, in milliseconds.
    pub order_lease_ms: u64,
    /// Calls to the platform that only the leader makes, and what entries gather for them.
    pub duties: DutySettings,
    /// Address of the platform's list of upstreams, and of the calls of the leader.
    pub list_address: Name,
    /// How long keys work without a confirmation of the document.
    pub key_policy: KeyPolicy,
    /// Limits on the retries of all entries together.
    pub retry_budget: RetryBudgetSettings,
    /// How the choice of an engine takes cached prefixes into account.
    pub prefix_placement: PrefixPlacement,
    /// Time from the stop signal until the platform kills the process, in milliseconds.
    pub grace_ms: u64,
    /// Memory for the bodies of requests and answers together, in bytes.
    pub body_memory_bytes: usize,
    /// Secret shared by all instances.
    pub peer_secret: Vec<u8>,
}

impl Settings {
    /// Returns for how long a stopping instance may wait for its open work, in milliseconds.
    pub fn stop_wait_ms(&self) -> u64 {
        self.grace_ms.saturating_sub(GRACE_MARGIN_MS)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            role: InstanceRole::Entry,
            info: InstanceInfo::default(),
            caller_address: Name::default(),
            ready_address: Name::default(),
            operator_address: Name::default(),
            metrics_address: Name::default(),
            data_folder: PathBuf::new(),
            contacts: Vec::new(),
            founders: Vec::new(),
            target_voters: 3,
            order_lease_ms: 3_000,
            duties: DutySettings::default(),
            list_address: Name::default(),
            key_policy: KeyPolicy::default(),
            retry_budget: RetryBudgetSettings::default(),
            prefix_placement: PrefixPlacement::default(),
            grace_ms: 8_000,
            body_memory_bytes: memory::DEFAULT_BYTES,
            peer_secret: Vec::new(),
        }
    }
}
