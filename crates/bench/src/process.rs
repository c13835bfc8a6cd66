//! Child processes that run this binary.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
};

use crate::Result;

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a process of the current executable with `arguments`. Standard output and standard error are written to
    /// `log_file`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be created or the process cannot be started.
    pub fn start(arguments: &[&str], log_file: &Path) -> Result<Self> {
        let log = File::create(log_file)?;
        let child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails only if the process has already ended, so the error is ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
