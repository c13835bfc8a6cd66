//! The replica's files: recovery at start, and the thread that makes writes durable.

use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use disk::{OpenedStore, Store};
use quorum::Write;
use reducer::Event;

use crate::clock::unix_ms;
use crate::error::Error;
use crate::queue::EventQueue;

/// Writes in one batch. A sync takes about as long for many writes as for one.
const BATCH_WRITES: usize = 256;

/// Folder of the replica's files inside the data folder.
const REPLICA_FOLDER: &str = "replica";

/// A write with the ticket that is reported when it is durable.
pub type Ticketed = (u64, Write);

/// Opens the replica's files. A damaged store is set aside under a new name, and the replica starts
/// as a new one: it must not vote with a state that it may have acknowledged differently.
///
/// # Errors
/// Fails if the files cannot be opened for another reason.
pub fn open(data_folder: &Path) -> Result<OpenedStore, Error> {
    let folder = data_folder.join(REPLICA_FOLDER);
    match Store::open(&folder) {
        Err(disk::Error::Damaged { path, offset_bytes }) => {
            let aside = set_aside(&folder)?;
            spdlog::error!(
                "disk: {} is damaged at byte {offset_bytes}; the store is kept as {} and the replica starts anew",
                path.display(),
                aside.display()
            );
            Store::open(&folder)
        }
        opened => opened,
    }
    .map_err(|error| Error::Disk(error.to_string()))
}

fn set_aside(folder: &Path) -> Result<PathBuf, Error> {
    let aside = folder.with_extension(format!("damaged-{}", unix_ms()));
    std::fs::rename(folder, &aside).map_err(|source| Error::Os {
        what: "cannot set the damaged store aside",
        source,
    })?;
    Ok(aside)
}

/// The running disk thread.
#[derive(Debug)]
pub struct DiskThread {
    /// Where writes go. The thread ends when it is dropped.
    pub writes: Sender<Ticketed>,
    /// Ends with an error if a write or sync fails.
    pub thread: JoinHandle<Result<(), Error>>,
}

/// Starts the thread. It ends with an error when a write or sync fails: what is on the disk is then
/// unknown, and the process must not go on as this replica.
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

fn run(store: &mut Store, writes: &Receiver<Ticketed>, events: &EventQueue) -> Result<(), Error> {
    while let Ok(first) = writes.recv() {
        let batch = std::iter::once(first).chain(writes.try_iter().take(BATCH_WRITES - 1));
        let ticket = write_batch(store, batch).map_err(|error| {
            spdlog::error!("disk: {error}");
            Error::Disk(error.to_string())
        })?;
        events.send_blocking(Event::Persisted { ticket });
    }
    Ok(())
}

/// Carries out writes and one sync. Returns the last ticket.
fn write_batch(
    store: &mut Store,
    batch: impl Iterator<Item = Ticketed>,
) -> Result<u64, disk::Error> {
    let mut last = 0;
    let mut count = 0;
    for (ticket, write) in batch {
        store.write(&write)?;
        last = ticket;
        count += 1;
    }
    store.sync()?;
    metrics::counter!("mustardstack_syncs_total").increment(1);
    metrics::counter!("mustardstack_disk_writes_total").increment(count);
    Ok(last)
}
