//! The replica's files: opens them at the start, and makes writes durable in the disk thread.

use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use conf::Name;
use disk::{OpenOptions, OpenedStore, Store};
use quorum::Write;
use reducer::Event;

use crate::clock::unix_ms;
use crate::error::Error;
use crate::queue::EventQueue;

/// Largest number of writes in one batch. A sync takes about the same time for many writes as for one.
const MAX_BATCH_WRITES: usize = 256;

/// Folder of the replica's files inside the data folder.
const REPLICA_FOLDER: &str = "replica";

/// Start of the extension of a damaged store's folder.
const DAMAGED_SUFFIX: &str = "damaged-";

/// A write with its ticket, which is reported to the reducer once the write is durable.
pub type TicketedWrite = (u64, Write);

/// Opens the replica's files. A damaged store is renamed, and the replica starts as a new one with an empty store: it
/// must not vote with a state that may differ from the state that it acknowledged.
///
/// A folder that has held no store gets `new_storage_id`, or a random one if there is none.
///
/// # Errors
/// Fails if the files cannot be opened for another reason.
pub fn open(data_folder: &Path, new_storage_id: Option<u64>) -> Result<OpenedStore, Error> {
    let folder = data_folder.join(REPLICA_FOLDER);
    let options = OpenOptions {
        // The replica of a damaged store may have voted under this id.
        new_storage_id: new_storage_id.filter(|_| !has_damaged_store(data_folder)),
        ..OpenOptions::default()
    };
    match Store::open_with(&folder, &options) {
        Err(disk::Error::Damaged { path, offset_bytes }) => {
            let renamed_path = rename_damaged_store(&folder)?;
            spdlog::error!(
                "disk: {} is damaged at byte {offset_bytes}; the store was renamed to {}; the replica starts empty",
                path.display(),
                renamed_path.display()
            );
            Store::open(&folder)
        }
        opened => opened,
    }
    .map_err(|error| Error::Disk(error.to_string()))
}

/// Returns the founders of the log: those of the settings, which are recorded, or else those recorded at an earlier start.
/// Only the settings of the first start name them, and the process may end before the log is formed.
///
/// # Errors
/// Fails if the record cannot be read or written.
pub fn founders(store: &mut Store, of_settings: &[Name]) -> Result<Vec<Name>, Error> {
    let disk_error = |error: disk::Error| Error::Disk(error.to_string());
    let recorded = store.founders().map_err(disk_error)?;
    if of_settings.is_empty() {
        return Ok(recorded.into_iter().map(Name::from).collect());
    }
    let instances: Vec<String> = of_settings.iter().map(Name::to_string).collect();
    if instances != recorded {
        store.record_founders(&instances).map_err(disk_error)?;
    }
    Ok(of_settings.to_vec())
}

fn has_damaged_store(data_folder: &Path) -> bool {
    let entries = std::fs::read_dir(data_folder).into_iter().flatten();
    let prefix = format!("{REPLICA_FOLDER}.{DAMAGED_SUFFIX}");
    entries
        .flatten()
        .any(|entry| entry.file_name().to_string_lossy().starts_with(&prefix))
}

fn rename_damaged_store(folder: &Path) -> Result<PathBuf, Error> {
    let renamed_path = folder.with_extension(format!("{DAMAGED_SUFFIX}{}", unix_ms()));
    std::fs::rename(folder, &renamed_path).map_err(|source| Error::Os {
        what: "cannot rename the damaged store",
        source,
    })?;
    Ok(renamed_path)
}

/// The running disk thread.
#[derive(Debug)]
pub struct DiskThread {
    /// Channel on which the thread receives writes. The thread ends when all senders are dropped.
    pub writes: Sender<TicketedWrite>,
    /// Handle of the thread, which ends with an error if a write or sync fails.
    pub thread: JoinHandle<Result<(), Error>>,
}

/// Starts the disk thread. The thread ends with an error if a write or sync fails: the content of the disk is then
/// unknown, and the process must not continue as this replica.
///
/// # Errors
/// Fails if the thread cannot be started.
pub fn start(mut store: Store, events: EventQueue) -> Result<DiskThread, Error> {
    let (writes, receiver) = channel();
    let thread = std::thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || run(&mut store, &receiver, &events))
        .map_err(|source| Error::Os {
            what: "cannot start the disk thread",
            source,
        })?;
    Ok(DiskThread { writes, thread })
}

fn run(
    store: &mut Store,
    writes: &Receiver<TicketedWrite>,
    events: &EventQueue,
) -> Result<(), Error> {
    while let Ok(first) = writes.recv() {
        let batch = std::iter::once(first).chain(writes.try_iter().take(MAX_BATCH_WRITES - 1));
        let ticket = write_batch(store, batch).map_err(|error| {
            spdlog::error!("disk: {error}");
            Error::Disk(error.to_string())
        })?;
        events.send_blocking(Event::Persisted { ticket });
    }
    Ok(())
}

/// Executes a batch of writes and one sync. Returns the ticket of the last write.
fn write_batch(
    store: &mut Store,
    batch: impl Iterator<Item = TicketedWrite>,
) -> Result<u64, disk::Error> {
    let mut last_ticket = 0;
    let mut count = 0;
    for (ticket, write) in batch {
        store.write(&write)?;
        last_ticket = ticket;
        count += 1;
    }
    store.sync()?;
    metrics::counter!("mustardstack_syncs_total").increment(1);
    metrics::counter!("mustardstack_disk_writes_total").increment(count);
    Ok(last_ticket)
}
