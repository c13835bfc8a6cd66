//! The runtime of instances that forward requests unchanged: listeners, connections to upstreams, peers, disk and logs
//! around the reducers of `gateway`.
#![forbid(unsafe_code)]

pub mod answer;
pub mod blocked_parts;
mod body;
pub mod call;
mod caller;
pub mod clock;
pub mod compression;
mod control;
pub mod dialect;
pub mod duties;
mod entry;
mod error;
pub mod events;
pub mod http;
pub mod inbox;
mod listing;
pub mod logs;
pub mod memory;
pub mod orders;
mod peers;
pub mod pool;
pub mod settings;
mod signals;
mod socket;
mod stream;
mod telemetry;

pub use dialect::{Dialect, EncodedDuty, EngineReport, HeaderNames, ListingPage, Paths};
pub use error::Error;
pub use settings::{InstanceRole, Settings};

use std::rc::Rc;

/// Runs an instance until a signal stops it and its work is finished.
///
/// # Errors
/// Fails if a listener, a signal handler, the disk or a thread cannot be set up.
pub fn run(settings: Settings, dialect: Rc<dyn Dialect>, reload: Reload) -> Result<(), Error> {
    let logs = logs::install(&settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::os("cannot start the runtime"))?;
    let local = tokio::task::LocalSet::new();
    logs::write(
        logs::Importance::Failure,
        "process",
        &format!(
            "outcome=started instance={} zone={} role={}",
            settings.info.id,
            settings.info.availability_zone,
            settings.role.name(),
        ),
    );
    let result = local.block_on(&runtime, async {
        let flush_task = tokio::task::spawn_local(logs::flush_periodically(logs.clone()));
        let result = match settings.role {
            InstanceRole::Entry => entry::run(settings, dialect, reload).await,
            InstanceRole::Control => control::run(settings, dialect, reload).await,
        };
        flush_task.abort();
        result
    });
    let outcome = match &result {
        Ok(()) => "stopped".to_owned(),
        Err(error) => format!("failed reason={:?}", error.to_string()),
    };
    logs::write(
        logs::Importance::Failure,
        "process",
        &format!("outcome={outcome}"),
    );
    logs.finish();
    result
}

/// Reads the settings again, or returns the reason why they cannot be read.
pub type Reload = Box<dyn Fn() -> Result<Settings, String>>;
