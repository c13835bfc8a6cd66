//! Settings of an instance.

use std::path::PathBuf;

use conf::Name;
use fleet::InstanceInfo;
use gateway::budget::BudgetSettings;

/// What an instance does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Takes requests of callers.
    #[default]
    Entry,
    /// Runs a replica, which takes the calls of operators.
    Control,
}

impl Role {
    /// Returns the name in logs.
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
    /// What the instance does.
    pub role: Role,
    /// Identity and peer address.
    pub info: InstanceInfo,
    /// Listener for callers.
    pub caller_address: Name,
    /// Listener for the balancer's readiness checks.
    pub ready_address: Name,
    /// Listener for operators.
    pub operator_address: Name,
    /// Listener for metrics.
    pub metrics_address: Name,
    /// Folder of the replica's files.
    pub data_folder: PathBuf,
    /// Replicas that may be up.
    pub contacts: Vec<InstanceInfo>,
    /// Instances that form the log, if the whole system starts for the first time.
    pub founders: Vec<Name>,
    /// Voters to reach.
    pub target_voters: usize,
    /// Time for which a holder of the right to give orders keeps it, in milliseconds.
    pub order_lease_ms: u64,
    /// Address of the platform's list of upstreams.
    pub list_address: Name,
    /// Bounds on retries of all entries together.
    pub budget: BudgetSettings,
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Secret that all instances share.
    pub peer_secret: Vec<u8>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            role: Role::Entry,
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
            list_address: Name::default(),
            budget: BudgetSettings::default(),
            grace_ms: 8_000,
            peer_secret: Vec::new(),
        }
    }
}
