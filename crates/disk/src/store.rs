//! The store: recovery, appending and syncing of a replica's files.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

use bytes::Bytes;
use quorum::{RecoveredState, ReplicaId, Snapshot, Write};

use crate::codec::{self, Record};
use crate::error::Error;
use crate::faults::Faults;
use crate::files::Folder;
use crate::replay::Replay;
use crate::segment::{self, SEGMENT_HEADER, Scan};
use crate::{files, founders, snapshot, storage_id};

/// Length of a segment after which the next segment is started, in bytes.
const SEGMENT_ROTATION_BYTES: u64 = 8 * 1024 * 1024;

const FIRST_SEGMENT_NUMBER: u64 = 1;

const LOCK_FILE_NAME: &str = "lock";
const SEGMENT_PREFIX: &str = "log-";
const SEGMENT_SUFFIX: &str = ".seg";

/// Options of opening a store.
#[derive(Clone, Debug, Default)]
pub struct OpenOptions {
    /// Storage id of a folder that holds no store; a random one if there is none.
    pub new_storage_id: Option<u64>,
    /// Steps on the files that fail.
    pub faults: Faults,
}

/// An opened store and the state that it recovered.
#[derive(Debug)]
pub struct OpenedStore {
    /// Store for further writes.
    pub store: Store,
    /// Storage id: the random id of the data folder.
    pub storage_id: u64,
    /// State recovered from the disk.
    pub recovered: RecoveredState,
}

/// Number of a segment and the highest index of its entries.
#[derive(Clone, Copy, Debug)]
struct SegmentSummary {
    number: u64,
    /// Highest index of an entry in the segment; 0 if the segment holds no entries.
    last_index: u64,
}

/// The files of a replica.
#[derive(Debug)]
pub struct Store {
    folder: Folder,
    /// Lock file, which is kept open so that no other process opens the folder.
    _lock: File,
    closed_segments: Vec<SegmentSummary>,
    segment_number: u64,
    file: File,
    length_bytes: u64,
    synced_bytes: u64,
    /// Highest index of an entry in the current segment; 0 if the segment holds no entries.
    last_index: u64,
    term: u64,
    voted_for: Option<ReplicaId>,
    sync_count: u64,
    has_failed: bool,
}

impl Store {
    /// Opens the folder, creating it if it is missing, and recovers the state that it holds.
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
    pub fn open(folder: impl AsRef<Path>) -> Result<OpenedStore, Error> {
        Self::open_with(folder, &OpenOptions::default())
    }

    /// Opens the folder like [`Store::open`], with options.
    ///
    /// # Errors
    /// Returns the same errors as [`Store::open`].
    pub fn open_with(
        folder: impl AsRef<Path>,
        options: &OpenOptions,
    ) -> Result<OpenedStore, Error> {
        let path = folder.as_ref();
        fs::create_dir_all(path).map_err(Error::io(path))?;
        let folder = &Folder::new(path, &options.faults);
        let lock = lock_folder(folder)?;
        folder.remove_temporary()?;
        let segment_numbers = files::list_numbers(path, SEGMENT_PREFIX, SEGMENT_SUFFIX)?;
        let storage_id =
            load_or_create_storage_id(folder, &segment_numbers, options.new_storage_id)?;
        let loaded = load(folder, &segment_numbers)?;
        let mut store = Self::open_loaded(folder, lock, &loaded)?;
        if store.segment_number < loaded.first_segment {
            // The segment is covered by the snapshot, and must get no entries that are not.
            store.start_segment()?;
        }
        Ok(OpenedStore {
            store,
            storage_id,
            recovered: loaded.recovered,
        })
    }

    /// Appends a write, which becomes durable with the next [`Store::sync`].
    ///
    /// # Errors
    /// Returns [`Error::Io`] if the write fails, and [`Error::Failed`] on every later call.
    pub fn write(&mut self, write: &Write) -> Result<(), Error> {
        self.run_unless_failed(|store| match write {
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
    /// Returns [`Error::Io`] if the sync fails, and [`Error::Failed`] on every later call.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.run_unless_failed(Self::sync_segment)
    }

    /// Returns the founders that were recorded last; none if there is no record.
    ///
    /// # Errors
    /// Returns [`Error::Io`] if the record cannot be read.
    pub fn founders(&self) -> Result<Vec<String>, Error> {
        founders::load(&self.folder.path)
    }

    /// Records the founders of the log durably.
    ///
    /// # Errors
    /// Returns [`Error::Io`] if the record cannot be written.
    pub fn record_founders(&mut self, instances: &[String]) -> Result<(), Error> {
        founders::save(&self.folder, instances)?;
        self.sync_count += files::REPLACE_SYNCS;
        Ok(())
    }

    /// Returns the number of syncs that the store has requested from the operating system.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Runs the operation unless an earlier one failed. After a failure the state of the file is unknown, and a second
    /// sync may report success for pages that the first sync has dropped.
    fn run_unless_failed(
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

    fn open_loaded(folder: &Folder, lock: File, loaded: &LoadedFiles) -> Result<Self, Error> {
        let path = segment_path(&folder.path, loaded.segment_number);
        let mut store = Self {
            folder: folder.clone(),
            _lock: lock,
            closed_segments: loaded.closed_segments.clone(),
            segment_number: loaded.segment_number,
            file: folder.open_for_append(&path)?,
            length_bytes: loaded.intact_bytes,
            synced_bytes: 0,
            last_index: loaded.last_index,
            term: loaded.recovered.term,
            voted_for: loaded.recovered.voted_for.clone(),
            sync_count: 0,
            has_failed: false,
        };
        folder.set_length(&store.file, &path, loaded.intact_bytes)?;
        if store.length_bytes == 0 {
            store.write_header()?;
        }
        // The data that was read may be only in the operating system's cache.
        store.sync_segment()?;
        store.sync_folder()?;
        Ok(store)
    }

    fn write_header(&mut self) -> Result<(), Error> {
        self.write_bytes(SEGMENT_HEADER)?;
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
        if self.length_bytes > SEGMENT_ROTATION_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let path = segment_path(&self.folder.path, self.segment_number);
        self.folder.write(&mut self.file, &path, bytes)?;
        self.length_bytes += bytes.len() as u64;
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<(), Error> {
        if self.synced_bytes == self.length_bytes {
            return Ok(());
        }
        let path = segment_path(&self.folder.path, self.segment_number);
        self.folder.sync_data(&self.file, &path)?;
        self.synced_bytes = self.length_bytes;
        self.sync_count += 1;
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        self.folder.sync()?;
        self.sync_count += 1;
        Ok(())
    }

    /// Starts a segment that begins with the current term and vote, so that the segments before it can be removed.
    fn start_segment(&mut self) -> Result<(), Error> {
        self.sync_segment()?;
        self.closed_segments.push(SegmentSummary {
            number: self.segment_number,
            last_index: self.last_index,
        });
        self.segment_number += 1;
        let path = segment_path(&self.folder.path, self.segment_number);
        self.file = self.folder.open_for_append(&path)?;
        self.length_bytes = 0;
        self.synced_bytes = 0;
        self.last_index = 0;
        self.write_header()?;
        self.sync_segment()?;
        self.sync_folder()
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        // The removal of conflicting entries must become durable before the snapshot does.
        self.sync_segment()?;
        let first_segment = self.first_segment_after(snapshot.index);
        snapshot::save(&self.folder, snapshot, first_segment)?;
        self.sync_count += files::REPLACE_SYNCS;
        self.start_segment()?;
        snapshot::remove_before(&self.folder, snapshot.index)?;
        self.remove_covered_segments(snapshot.index)
    }

    /// Returns the number of the first segment that holds entries after `index`, or of the next one to be started.
    fn first_segment_after(&self, index: u64) -> u64 {
        let current = SegmentSummary {
            number: self.segment_number,
            last_index: self.last_index,
        };
        self.closed_segments
            .iter()
            .chain(std::iter::once(&current))
            .find(|segment| segment.last_index > index)
            .map_or(self.segment_number + 1, |segment| segment.number)
    }

    /// Removes the oldest closed segments, up to the first one with entries after `index`, the snapshot's index.
    fn remove_covered_segments(&mut self, index: u64) -> Result<(), Error> {
        let covered = self
            .closed_segments
            .iter()
            .take_while(|segment| segment.last_index <= index);
        let covered = covered.count();
        for segment in self.closed_segments.drain(..covered) {
            let path = segment_path(&self.folder.path, segment.number);
            self.folder.remove(&path)?;
        }
        Ok(())
    }
}

/// The state loaded from the files, and the segment and position at which writing continues.
struct LoadedFiles {
    recovered: RecoveredState,
    /// Number of the first segment that is needed besides the snapshot.
    first_segment: u64,
    closed_segments: Vec<SegmentSummary>,
    segment_number: u64,
    intact_bytes: u64,
    last_index: u64,
}

fn load(folder: &Folder, segment_numbers: &[u64]) -> Result<LoadedFiles, Error> {
    let latest = snapshot::load_latest(&folder.path)?;
    if let Some(saved) = &latest {
        snapshot::remove_before(folder, saved.snapshot.index)?;
    }
    let folder = &folder.path;
    let oldest_segment = segment_numbers.first().copied();
    let first_segment = latest
        .as_ref()
        .and_then(|saved| saved.first_segment.or(oldest_segment))
        .unwrap_or(FIRST_SEGMENT_NUMBER);
    let (covered, needed) = split_segments(folder, segment_numbers, first_segment)?;
    let mut replay = Replay::new(latest.map(|saved| saved.snapshot));
    let mut current = SegmentSummary {
        number: FIRST_SEGMENT_NUMBER,
        last_index: 0,
    };
    let mut intact_bytes = 0;
    let covered = covered.iter().map(|number| SegmentSummary {
        number: *number,
        last_index: 0,
    });
    let mut closed_segments: Vec<_> = covered.collect();
    for (position, number) in needed.iter().enumerate() {
        let is_newest = position + 1 == needed.len();
        let scan = read_segment(folder, *number, is_newest)?;
        // A segment begins with the term, so one without a record is started anew.
        intact_bytes = match scan.records.is_empty() {
            true => 0,
            false => scan.intact_bytes,
        };
        current = SegmentSummary {
            number: *number,
            last_index: scan.records.iter().map(last_index).max().unwrap_or(0),
        };
        for record in scan.records {
            let damaged = |_| Error::damaged(&segment_path(folder, *number), 0);
            replay.apply(record).map_err(damaged)?;
        }
        if !is_newest {
            closed_segments.push(current);
        }
    }
    Ok(LoadedFiles {
        recovered: replay.finish(),
        first_segment,
        closed_segments,
        segment_number: current.number,
        intact_bytes,
        last_index: current.last_index,
    })
}

/// Splits the segments into those that the snapshot covers, of which any may be missing, and those that are needed, of
/// which none may be. The removal of a covered segment is not synced, so that a loss of power may undo it.
fn split_segments<'a>(
    folder: &Path,
    segment_numbers: &'a [u64],
    first_segment: u64,
) -> Result<(&'a [u64], &'a [u64]), Error> {
    let mut covered = segment_numbers.partition_point(|number| *number < first_segment);
    let mut expected = first_segment;
    let is_started = match &segment_numbers[covered..] {
        [] => false,
        [only] => !read_segment(folder, *only, true)?.records.is_empty(),
        _ => true,
    };
    if !is_started && first_segment > FIRST_SEGMENT_NUMBER {
        // The segment before is removed only once the first one is durable, and holds the term and the vote.
        covered = covered.saturating_sub(1);
        expected = first_segment - 1;
    }
    let (covered, needed) = segment_numbers.split_at(covered);
    for number in needed {
        if *number != expected {
            return Err(Error::damaged(&segment_path(folder, expected), 0));
        }
        expected += 1;
    }
    Ok((covered, needed))
}

/// Reads a segment. Only the newest segment may end in a torn write, since a segment is synced before the next one is
/// started.
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

/// Returns the folder's storage id. A folder without segments and snapshots has never recorded a vote, so a new storage
/// id is safe. A log without a storage id cannot be attributed to a replica and is an error.
fn load_or_create_storage_id(
    folder: &Folder,
    segment_numbers: &[u64],
    new_storage_id: Option<u64>,
) -> Result<u64, Error> {
    if segment_numbers.is_empty() && !snapshot::exists(&folder.path)? {
        return storage_id::create(folder, new_storage_id);
    }
    let folder = &folder.path;
    if segment_numbers.is_empty() {
        return Err(Error::damaged(
            &segment_path(folder, FIRST_SEGMENT_NUMBER),
            0,
        ));
    }
    let id = storage_id::load(folder)?;
    id.ok_or_else(|| Error::damaged(folder, 0))
}

fn lock_folder(folder: &Folder) -> Result<File, Error> {
    let path = folder.path.join(LOCK_FILE_NAME);
    let file = folder.create(&path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::InUse {
            path: folder.path.clone(),
        }),
        Err(TryLockError::Error(error)) => Err(Error::io(&path)(error)),
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    files::numbered_path(folder, SEGMENT_PREFIX, number, SEGMENT_SUFFIX)
}
