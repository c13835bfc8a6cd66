//! Steps on the files that fail on request.

use std::fmt;
use std::io;
use std::sync::Arc;

/// A step that changes the files of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Creates a file, or opens one for writing.
    Create,
    /// Appends bytes to a file. If the step fails, half of the bytes are written.
    Write,
    /// Sets the length of a file.
    SetLength,
    /// Syncs a file or a folder.
    Sync,
    /// Renames a file.
    Rename,
    /// Removes a file.
    Remove,
}

/// Decides which steps fail as on a full disk. By default none does.
#[derive(Clone, Default)]
pub struct Faults(Option<Arc<dyn Fn(Step) -> bool + Send + Sync>>);

impl Faults {
    /// Lets those steps fail for which `fails` returns true.
    pub fn new(fails: impl Fn(Step) -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(fails)))
    }

    /// Returns the error of a full disk if the step is to fail.
    pub(crate) fn check(&self, step: Step) -> io::Result<()> {
        match &self.0 {
            Some(fails) if fails(step) => Err(io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }
}

impl fmt::Debug for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("Faults")
            .field(&self.0.is_some())
            .finish()
    }
}
