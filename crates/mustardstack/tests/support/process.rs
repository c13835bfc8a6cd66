//! A process of the binary under test. It is killed when its guard is dropped.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use super::{Result, wait};

/// Lines of a log that are printed when a scenario fails.
const LOG_TAIL_LINES: usize = 40;

/// Signals that scenarios send.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Asks the process to stop.
    Terminate,
    /// Pauses the process.
    Stop,
    /// Lets a paused process go on.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// A running process.
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
        let child = Command::new(env!("CARGO_BIN_EXE_mustardstack"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            log_file: log_file.to_owned(),
        })
    }

    /// Sends a signal by process id.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // An ended child that has not been waited for still owns its id.
        if let Some(status) = self.child.try_wait()? {
            return Err(format!("process has ended with {status}").into());
        }
        let sent = Command::new("kill")
            .args(["-s", signal.name(), &self.child.id().to_string()])
            .status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(format!("kill failed with {sent}").into()),
        }
    }

    /// Kills the process, also when it is paused, and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not end in time.
    pub fn wait_exit(&mut self) -> Result<ExitStatus> {
        wait::until("the process to end", || Ok(self.child.try_wait()?))
    }

    /// Whether the process still runs.
    ///
    /// # Errors
    ///
    /// Returns an error if its state cannot be read.
    pub fn is_running(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// The last lines of its output.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log_file).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let start = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[start..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended cannot be killed, which is what is wanted here.
        let _ = self.kill();
    }
}
