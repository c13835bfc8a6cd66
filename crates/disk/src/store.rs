//! The store: recovery, appending and syncing.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Write as _;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use quorum::{Recovered, ReplicaId, Snapshot, Write};

use crate::codec::{self, Record};
use crate::error::Error;
use crate::replay::Replay;
use crate::segment::{self, HEADER, Scan};
use crate::{files, snapshot, storage_id};

/// Length after which a new segment is started.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

const FIRST_SEGMENT: u64 = 1;

const LOCK_NAME: &str = "lock";
const SEGMENT_PREFIX: &str = "log-";
const SEGMENT_SUFFIX: &str = ".seg";

/// A store and what it holds.
#[derive(Debug)]
pub struct Opened {
    /// Store for further writes.
    pub store: Store,
    /// Random id of the data folder.
    pub storage_id: u64,
    /// State found on the disk.
    pub recovered: Recovered,
}

/// A segment that is no longer written to.
#[derive(Clone, Copy, Debug)]
struct Closed {
    number: u64,
    /// Highest index of an entry in it.
    last_index: u64,
}

/// The files of a replica.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    /// Held so that no other process opens the folder.
    _lock: File,
    closed: Vec<Closed>,
    number: u64,
    file: File,
    length_bytes: u64,
    synced_bytes: u64,
    /// Highest index of an entry in the current segment.
    last_index: u64,
    term: u64,
    voted_for: Option<ReplicaId>,
    sync_count: u64,
    has_failed: bool,
}

impl Store {
    /// Opens the folder, which is created if it is missing, and recovers what it holds.
    ///
    /// ```
    /// let folder = tempfile::tempdir().unwrap();
    /// let mut opened = disk::Store::open(folder.path()).unwrap();
    /// opened.store.write(&quorum::Write::Term { term: 3, voted_for: None }).unwrap();
    /// opened.store.sync().unwrap();
    /// let id = opened.storage_id;
    /// drop(opened);
    ///
    /// let opened = disk::Store::open(folder.path()).unwrap();
    /// assert_eq!((opened.storage_id, opened.recovered.term), (id, 3));
    /// ```
    ///
    /// # Errors
    /// Returns [`Error::Damaged`] if synced data is damaged or missing, [`Error::InUse`] if another process has the
    /// folder open, and [`Error::Io`] if a file cannot be read or written.
    pub fn open(folder: impl AsRef<Path>) -> Result<Opened, Error> {
        let folder = folder.as_ref();
        fs::create_dir_all(folder).map_err(Error::io(folder))?;
        let lock = lock(folder)?;
        files::remove_temporary(folder)?;
        let numbers = files::numbered(folder, SEGMENT_PREFIX, SEGMENT_SUFFIX)?;
        let storage_id = identify(folder, &numbers)?;
        let loaded = load(folder, &numbers)?;
        let store = Self::resume(folder, lock, &loaded)?;
        Ok(Opened {
            store,
            storage_id,
            recovered: loaded.recovered,
        })
    }

    /// Appends a write. It is durable after the next [`Store::sync`].
    ///
    /// # Errors
    /// Returns [`Error::Io`] if the disk refuses it, and [`Error::Failed`] from then on.
    pub fn write(&mut self, write: &Write) -> Result<(), Error> {
        self.guarded(|store| match write {
            Write::Term { term, voted_for } => {
                store.term = *term;
                store.voted_for.clone_from(voted_for);
                store.write_term()
            }
            Write::Append {
                from_index,
                entries,
            } => {
                let last_index = entries.last().map_or(0, |entry| entry.index);
                store.last_index = store.last_index.max(last_index);
                let mut payload = Vec::new();
                codec::put_append(&mut payload, *from_index, entries);
                store.write_record(&payload)
            }
            Write::Snapshot(snapshot) => store.write_snapshot(snapshot),
        })
    }

    /// Makes all writes so far durable.
    ///
    /// # Errors
    /// Returns [`Error::Io`] if the disk refuses it, and [`Error::Failed`] from then on.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.guarded(Self::sync_segment)
    }

    /// Returns how many syncs the store has asked the disk for.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Refuses everything after a failure: the state of the file is unknown then, and a second sync may report success
    /// for pages that the first has dropped.
    fn guarded(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.has_failed {
            return Err(Error::Failed);
        }
        let result = operation(self);
        self.has_failed = result.is_err();
        result
    }

    fn resume(folder: &Path, lock: File, loaded: &Loaded) -> Result<Self, Error> {
        let path = segment_path(folder, loaded.number);
        let mut store = Self {
            folder: folder.to_path_buf(),
            _lock: lock,
            closed: loaded.closed.clone(),
            number: loaded.number,
            file: open_for_append(&path)?,
            length_bytes: loaded.intact_bytes,
            synced_bytes: 0,
            last_index: loaded.last_index,
            term: loaded.recovered.term,
            voted_for: loaded.recovered.voted_for.clone(),
            sync_count: 0,
            has_failed: false,
        };
        let file = &store.file;
        file.set_len(loaded.intact_bytes)
            .map_err(Error::io(&path))?;
        if store.length_bytes == 0 {
            store.write_header()?;
        }
        // What was read may still be in the operating system's cache only.
        store.sync_segment()?;
        store.sync_folder()?;
        Ok(store)
    }

    fn write_header(&mut self) -> Result<(), Error> {
        self.write_bytes(HEADER)?;
        self.write_term()
    }

    fn write_term(&mut self) -> Result<(), Error> {
        let mut payload = Vec::new();
        codec::put_term(&mut payload, self.term, self.voted_for.as_ref());
        self.write_record(&payload)
    }

    fn write_record(&mut self, payload: &[u8]) -> Result<(), Error> {
        let mut frame = Vec::new();
        segment::put_frame(&mut frame, self.synced_bytes, payload);
        self.write_bytes(&frame)?;
        if self.length_bytes > SEGMENT_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let path = segment_path(&self.folder, self.number);
        self.file.write_all(bytes).map_err(Error::io(&path))?;
        self.length_bytes += bytes.len() as u64;
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<(), Error> {
        if self.synced_bytes == self.length_bytes {
            return Ok(());
        }
        let path = segment_path(&self.folder, self.number);
        self.file.sync_data().map_err(Error::io(&path))?;
        self.synced_bytes = self.length_bytes;
        self.sync_count += 1;
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        files::sync_folder(&self.folder)?;
        self.sync_count += 1;
        Ok(())
    }

    /// Starts a segment that repeats the term, so that the segments before it can be removed.
    fn start_segment(&mut self) -> Result<(), Error> {
        self.sync_segment()?;
        self.closed.push(Closed {
            number: self.number,
            last_index: self.last_index,
        });
        self.number += 1;
        self.file = open_for_append(&segment_path(&self.folder, self.number))?;
        self.length_bytes = 0;
        self.synced_bytes = 0;
        self.last_index = 0;
        self.write_header()?;
        self.sync_segment()?;
        self.sync_folder()
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        // The removal of conflicting entries must not be lost when the snapshot is kept.
        self.sync_segment()?;
        snapshot::save(&self.folder, snapshot)?;
        self.sync_count += files::REPLACE_SYNCS;
        self.start_segment()?;
        snapshot::remove_before(&self.folder, snapshot.index)?;
        self.remove_segments(snapshot.index)
    }

    /// Removes the oldest segments as far as the snapshot covers their entries.
    fn remove_segments(&mut self, index: u64) -> Result<(), Error> {
        let covered = self.closed.iter().take_while(|one| one.last_index <= index);
        let covered = covered.count();
        for segment in self.closed.drain(..covered) {
            files::remove(&segment_path(&self.folder, segment.number))?;
        }
        Ok(())
    }
}

/// What the files hold, and where to go on writing.
struct Loaded {
    recovered: Recovered,
    closed: Vec<Closed>,
    number: u64,
    intact_bytes: u64,
    last_index: u64,
}

fn load(folder: &Path, numbers: &[u64]) -> Result<Loaded, Error> {
    let latest = snapshot::load_latest(folder)?;
    if let Some(snapshot) = &latest {
        snapshot::remove_before(folder, snapshot.index)?;
    }
    check_sequence(folder, numbers, latest.is_some())?;
    let mut replay = Replay::new(latest);
    let mut current = Closed {
        number: FIRST_SEGMENT,
        last_index: 0,
    };
    let mut intact_bytes = 0;
    let mut closed = Vec::new();
    for (position, number) in numbers.iter().enumerate() {
        let is_newest = position + 1 == numbers.len();
        let scan = read_segment(folder, *number, is_newest)?;
        intact_bytes = scan.intact_bytes;
        current = Closed {
            number: *number,
            last_index: scan.records.iter().map(last_index).max().unwrap_or(0),
        };
        for record in scan.records {
            let gap = |_| Error::damaged(&segment_path(folder, *number), 0);
            replay.apply(record).map_err(gap)?;
        }
        if !is_newest {
            closed.push(current);
        }
    }
    Ok(Loaded {
        recovered: replay.finish(),
        closed,
        number: current.number,
        intact_bytes,
        last_index: current.last_index,
    })
}

/// Checks that no segment before the newest is missing. Only a snapshot lets the oldest ones be removed.
fn check_sequence(folder: &Path, numbers: &[u64], has_snapshot: bool) -> Result<(), Error> {
    let first = numbers.first().copied().unwrap_or(FIRST_SEGMENT);
    if first != FIRST_SEGMENT && !has_snapshot {
        return Err(Error::damaged(&segment_path(folder, FIRST_SEGMENT), 0));
    }
    for pair in numbers.windows(2) {
        if pair[1] != pair[0] + 1 {
            return Err(Error::damaged(&segment_path(folder, pair[0] + 1), 0));
        }
    }
    Ok(())
}

/// Reads a segment. Only the newest may have a torn tail: a segment is synced before the next one is started.
fn read_segment(folder: &Path, number: u64, is_newest: bool) -> Result<Scan, Error> {
    let path = segment_path(folder, number);
    let content = Bytes::from(files::read(&path)?.unwrap_or_default());
    let length_bytes = content.len() as u64;
    let scan = segment::scan(content);
    let is_torn = scan.intact_bytes < length_bytes || scan.records.is_empty();
    if scan.is_damaged || (is_torn && !is_newest) {
        return Err(Error::damaged(&path, scan.intact_bytes));
    }
    Ok(scan)
}

fn last_index(record: &Record) -> u64 {
    match record {
        Record::Append { entries, .. } => entries.last().map_or(0, |entry| entry.index),
        Record::Term { .. } => 0,
    }
}

/// Returns the storage id. A folder without segments has never been used for a vote, so a new id is always safe; a log
/// without an id cannot be attributed to a replica.
fn identify(folder: &Path, numbers: &[u64]) -> Result<u64, Error> {
    if numbers.is_empty() && !snapshot::exists(folder)? {
        return storage_id::create(folder);
    }
    if numbers.is_empty() {
        return Err(Error::damaged(&segment_path(folder, FIRST_SEGMENT), 0));
    }
    let id = storage_id::load(folder)?;
    id.ok_or_else(|| Error::damaged(folder, 0))
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK_NAME);
    let file = File::create(&path).map_err(Error::io(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::InUse {
            path: folder.to_path_buf(),
        }),
        Err(TryLockError::Error(error)) => Err(Error::io(&path)(error)),
    }
}

fn open_for_append(path: &Path) -> Result<File, Error> {
    let mut options = OpenOptions::new();
    let options = options.create(true).append(true);
    options.open(path).map_err(Error::io(path))
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    files::numbered_path(folder, SEGMENT_PREFIX, number, SEGMENT_SUFFIX)
}
