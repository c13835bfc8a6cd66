//! Processes of this binary, ended by id.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
};

use crate::Result;

/// A running process. It is killed when its guard is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the running binary with `arguments`. Its output goes to `log_file`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be written or the process cannot be started.
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

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended cannot be killed, which is what is wanted here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
