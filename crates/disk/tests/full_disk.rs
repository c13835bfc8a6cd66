//! Disks that refuse any one step, or several in a row, and then have room again.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use disk::{Error, Faults, OpenOptions, OpenedStore, Store};
use quorum::{Entry, EntryBody, MemberSet, RecoveredState, Snapshot, Write};

/// Length of a command after which the next segment is started, in bytes.
const LARGE_COMMAND_BYTES: usize = 5 * 1024 * 1024;
const FOUNDERS: [&str; 2] = ["a", "b"];

/// Counts the steps and lets those of a range fail.
#[derive(Clone)]
struct Refusal {
    count: Arc<AtomicU64>,
    faults: Faults,
}

impl Refusal {
    fn new(first: u64, number: u64) -> Self {
        let count = Arc::new(AtomicU64::new(0));
        let counter = count.clone();
        let refuses = move |_| {
            let step = counter.fetch_add(1, Ordering::Relaxed);
            (first..first + number).contains(&step)
        };
        Self {
            count,
            faults: Faults::new(refuses),
        }
    }
}

/// A replica's disk, with what it has reported as durable.
struct Disk<'a> {
    folder: &'a std::path::Path,
    refusal: Refusal,
    /// `None` while the folder is opened again.
    opened: Option<OpenedStore>,
    /// Storage id of the first write that was durable.
    storage_id: Option<u64>,
    durable: RecoveredState,
}

fn last_index(state: &RecoveredState) -> u64 {
    let snapshot = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    state.entries.last().map_or(snapshot, |entry| entry.index)
}

fn command(state: &RecoveredState, index: u64) -> Option<&EntryBody> {
    let entry = state.entries.iter().find(|entry| entry.index == index);
    entry.map(|entry| &entry.body)
}

/// Opens the store as often as the disk refuses it, like the process does.
fn open(folder: &std::path::Path, refusal: &Refusal) -> OpenedStore {
    let options = OpenOptions {
        faults: refusal.faults.clone(),
        ..OpenOptions::default()
    };
    for _ in 0..200 {
        let opened = Store::open_with(folder, &options).and_then(|mut opened| {
            let founders = FOUNDERS.map(str::to_owned);
            if opened.store.founders()? != founders {
                opened.store.record_founders(&founders)?;
            }
            Ok(opened)
        });
        match opened {
            Ok(opened) => return opened,
            Err(Error::Io { .. }) => {}
            Err(error) => panic!("a full disk is taken for another fault: {error}"),
        }
    }
    panic!("the store does not open although the disk has room again");
}

impl<'a> Disk<'a> {
    fn new(folder: &'a std::path::Path, refusal: Refusal) -> Self {
        let opened = open(folder, &refusal);
        Self {
            folder,
            refusal,
            opened: Some(opened),
            storage_id: None,
            durable: RecoveredState::default(),
        }
    }

    fn opened(&mut self) -> &mut OpenedStore {
        self.opened.as_mut().expect("the store is open")
    }

    /// Writes until the write is durable. After each refusal, the replica continues with the state on its disk.
    fn write(&mut self, next: impl Fn(&RecoveredState) -> Write) {
        loop {
            let opened = self.opened();
            let write = next(&opened.recovered);
            let store = &mut opened.store;
            if store.write(&write).and_then(|()| store.sync()).is_ok() {
                apply(&mut opened.recovered, write);
                let (storage_id, durable) = (opened.storage_id, opened.recovered.clone());
                self.storage_id.get_or_insert(storage_id);
                self.durable = durable;
                return;
            }
            self.reopen();
        }
    }

    fn reopen(&mut self) {
        // The lock of the folder has to be released first.
        self.opened = None;
        let opened = self.opened.insert(open(self.folder, &self.refusal));
        let recovered = &opened.recovered;
        if let Some(storage_id) = self.storage_id {
            assert_eq!(opened.storage_id, storage_id);
        }
        assert!(recovered.term >= self.durable.term);
        assert!(last_index(recovered) >= last_index(&self.durable));
        let snapshot = recovered.snapshot.as_ref();
        let snapshot = snapshot.map_or(0, |snapshot| snapshot.index);
        for index in snapshot + 1..=last_index(&self.durable) {
            assert_eq!(command(recovered, index), command(&self.durable, index));
        }
    }
}

fn apply(state: &mut RecoveredState, write: Write) {
    match write {
        Write::Term { term, voted_for } => (state.term, state.voted_for) = (term, voted_for),
        Write::Append {
            from_index,
            entries,
        } => {
            state.entries.retain(|entry| entry.index < from_index);
            state.entries.extend(entries);
        }
        Write::Snapshot(snapshot) => {
            state.entries.retain(|entry| entry.index > snapshot.index);
            state.snapshot = Some(snapshot);
        }
    }
}

fn next_term(state: &RecoveredState) -> Write {
    Write::Term {
        term: state.term + 1,
        voted_for: None,
    }
}

fn append(state: &RecoveredState, bytes: usize) -> Write {
    let from_index = last_index(state) + 1;
    let entry = |index: u64| Entry {
        index,
        term: state.term,
        body: EntryBody::Command(Bytes::from(vec![index as u8; bytes])),
    };
    Write::Append {
        from_index,
        entries: (from_index..from_index + 2).map(entry).collect(),
    }
}

fn snapshot(state: &RecoveredState) -> Write {
    Write::Snapshot(Snapshot {
        index: last_index(state) - 1,
        term: state.term,
        members: MemberSet::default(),
        state: Bytes::from_static(b"state"),
    })
}

/// Writes everything that a replica writes, and checks what the disk holds at the end. Returns the number of steps.
fn check(refusal: Refusal, bytes: usize) -> u64 {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut disk = Disk::new(folder.path(), refusal);
    for _ in 0..2 {
        disk.write(next_term);
        disk.write(|state| append(state, 50));
        disk.write(|state| append(state, bytes));
        disk.write(snapshot);
        disk.write(|state| append(state, 50));
    }
    let steps = disk.refusal.count.load(Ordering::Relaxed);
    disk.refusal = Refusal::new(0, 0);
    disk.reopen();
    let durable = disk.durable.clone();
    assert_eq!(disk.opened().recovered, durable);
    assert_eq!(
        disk.opened().store.founders().ok(),
        Some(FOUNDERS.map(str::to_owned).to_vec())
    );
    steps
}

/// Guards against a disk that was full at any step, and for any number of steps, and is then taken for damaged or has lost
/// what was durable, so that the replica loses its vote or never runs again.
#[test]
fn a_disk_that_was_full_at_any_step_holds_what_was_durable() {
    let steps = check(Refusal::new(0, 0), 50);
    for first in 0..steps {
        for number in [1, 2, 5, 40] {
            check(Refusal::new(first, number), 50);
        }
    }
}

/// Guards against the same while the next segment is started.
#[test]
fn a_disk_that_was_full_at_a_rotation_holds_what_was_durable() {
    let steps = check(Refusal::new(0, 0), LARGE_COMMAND_BYTES);
    for first in 0..steps {
        check(Refusal::new(first, 1 + first % 3), LARGE_COMMAND_BYTES);
    }
}
