//! Processes of the binary under test.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use super::{Result, port, wait};

/// Number of log lines of each process that are printed when a scenario fails.
const LOG_TAIL_LINES: usize = 40;

/// Signals that scenarios send.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Asks the process to stop.
    Terminate,
    /// Pauses the process.
    Pause,
    /// Resumes a paused process.
    Resume,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Pause => "STOP",
            Self::Resume => "CONT",
        }
    }
}

/// Process of the binary under test. Dropping the value kills the process.
pub struct Process {
    child: Child,
    log_file: PathBuf,
}

impl Process {
    /// Starts the binary under test. Its output is appended to `log_file`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start(arguments: &[&str], log_file: &Path) -> Result<Self> {
        let log = File::options().create(true).append(true).open(log_file)?;
        let child = port::spawn(
            Command::new(env!("CARGO_BIN_EXE_mustardstack"))
                .args(arguments)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log),
        )?;
        Ok(Self {
            child,
            log_file: log_file.to_owned(),
        })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // The process id cannot be reused before the child has been waited for, which `try_wait` does if it has ended.
        if let Some(status) = self.child.try_wait()? {
            return Err(format!("the process has ended with {status}").into());
        }
        let sent = port::spawn(Command::new("kill").args([
            "-s",
            signal.name(),
            &self.child.id().to_string(),
        ]))?
        .wait()?;
        match sent.success() {
            true => Ok(()),
            false => Err(format!("the kill command failed with {sent}").into()),
        }
    }

    /// Kills the process, even if it is paused, and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end in time.
    pub fn wait_exit(&mut self) -> Result<ExitStatus> {
        wait::until("the process to end", || Ok(self.child.try_wait()?))
    }

    /// Returns whether the process is still running.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub fn is_running(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Returns the last lines of the output of the process.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log_file).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let start = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[start..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already ended, which needs no handling.
        let _ = self.kill();
    }
}
