//! Structured log lines on the standard output, buffered up to a limit and written by a thread of their own.
//!
//! The thread that serves requests never waits for the output: it appends lines to a bounded buffer, and the writer
//! thread writes them in batches. When the buffer is full, the least important lines are dropped first, and a line
//! reports the number of dropped lines.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use conf::Name;
pub use gateway::entry::Importance;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{LevelFilter, Logger, Record};

use crate::error::Error;
use crate::settings::Settings;

/// Maximum size of the lines that wait to be written, in bytes. Lines above this limit are dropped.
pub const BUFFER_BYTES: usize = 512 * 1024;
/// Share of the buffer, in percent, above which lines about steps are dropped.
const STEP_LIMIT_PERCENT: usize = 60;
/// Share of the buffer, in percent, above which lines about state changes are dropped. The rest is reserved for
/// lines about failures.
const STATE_CHANGE_LIMIT_PERCENT: usize = 80;
/// Interval between two batches to the writer thread. Each batch wakes the writer thread once.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of batches that wait for the writer thread.
const MAX_WAITING_BATCHES: usize = 1;

static LOGS: OnceLock<Arc<Logs>> = OnceLock::new();

/// The buffer of log lines and the writer thread.
#[derive(Debug)]
pub struct Logs {
    instance: Name,
    buffer: Mutex<Buffer>,
    writer: Mutex<Option<Writer>>,
}

#[derive(Debug)]
struct Writer {
    batches: SyncSender<Vec<u8>>,
    thread: JoinHandle<()>,
}

/// Lines that wait to be written, and the number of dropped lines of each importance.
#[derive(Debug, Default)]
pub struct Buffer {
    lines: VecDeque<String>,
    bytes: usize,
    dropped: [u64; 3],
}

impl Buffer {
    /// Appends a line, or drops the line if the buffer is filled up to the limit of the line's importance.
    pub fn push(&mut self, importance: Importance, line: String) {
        let limit = match importance {
            Importance::Step => BUFFER_BYTES / 100 * STEP_LIMIT_PERCENT,
            Importance::StateChange => BUFFER_BYTES / 100 * STATE_CHANGE_LIMIT_PERCENT,
            Importance::Failure => BUFFER_BYTES,
        };
        if self.bytes + line.len() > limit {
            self.dropped[importance as usize] += 1;
            return;
        }
        self.bytes += line.len();
        self.lines.push_back(line);
    }

    /// Returns the numbers of lines dropped since the last batch, by importance.
    pub fn dropped(&self) -> [u64; 3] {
        self.dropped
    }

    /// Removes all lines and returns them, followed by a line with the numbers of dropped lines if any were dropped.
    pub fn take_batch(&mut self, instance: &str) -> Vec<u8> {
        let mut batch = Vec::with_capacity(self.bytes);
        for line in self.lines.drain(..) {
            batch.extend_from_slice(line.as_bytes());
        }
        self.bytes = 0;
        let [steps, changes, failures] = std::mem::take(&mut self.dropped);
        if steps + changes + failures > 0 {
            let text = format!(
                "part=logs instance={instance} outcome=dropped steps={steps} beliefs={changes} failures={failures}\n"
            );
            batch.extend_from_slice(text.as_bytes());
            metrics::counter!("mustardstack_log_lines_dropped_total")
                .increment(steps + changes + failures);
        }
        batch
    }
}

impl Logs {
    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        // The buffer stays usable if a thread panics while it appends a line.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, importance: Importance, component: &str, text: &str) {
        let time_ms = node::clock::unix_ms();
        let line = format!(
            "time_ms={time_ms} instance={} part={component} {text}\n",
            self.instance
        );
        self.buffer().push(importance, line);
    }

    /// Sends the buffered lines to the writer thread unless the writer thread is busy.
    fn flush(&self) {
        let writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(writer) = writer.as_ref() else {
            return;
        };
        let mut buffer = self.buffer();
        if buffer.lines.is_empty() && buffer.dropped == [0; 3] {
            return;
        }
        let lines = buffer.lines.len();
        let batch = buffer.take_batch(&self.instance);
        match writer.batches.try_send(batch) {
            Ok(()) => {}
            Err(TrySendError::Full(batch)) => {
                // The lines go back to the buffer in one piece until the writer thread accepts more.
                let text = String::from_utf8_lossy(&batch).into_owned();
                buffer.bytes = text.len();
                buffer.lines.push_front(text);
            }
            Err(TrySendError::Disconnected(_)) => buffer.dropped[0] += lines as u64,
        }
    }

    /// Writes the buffered lines and ends the writer thread.
    pub fn finish(&self) {
        let writer = self
            .writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(writer) = writer {
            let batch = self.buffer().take_batch(&self.instance);
            // The send fails only if the writer thread has ended, and then the lines cannot be written.
            let _ = writer.batches.send(batch);
            drop(writer.batches);
            let _ = writer.thread.join();
        }
    }
}

/// Sets up the logs of the process.
///
/// # Errors
/// Fails if the writer thread cannot be started or the logging library refuses its settings.
pub fn install(settings: &Settings) -> Result<Arc<Logs>, Error> {
    let (batches, receiver) = sync_channel(MAX_WAITING_BATCHES);
    let thread = std::thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_batches(&receiver))
        .map_err(Error::os("cannot start the log thread"))?;
    let logs = Arc::new(Logs {
        instance: settings.info.id.clone(),
        buffer: Mutex::default(),
        writer: Mutex::new(Some(Writer { batches, thread })),
    });
    let logger = Logger::builder()
        .sink(Arc::new(BufferSink {
            prop: SinkProp::default(),
            logs: logs.clone(),
        }))
        .level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Info))
        .build()
        .map_err(|error| Error::Logs(error.to_string()))?;
    spdlog::set_default_logger(Arc::new(logger));
    let _ = LOGS.set(logs.clone());
    Ok(logs)
}

/// Writes a log line of a component. `text` contains fields as `name=value`.
pub fn write(importance: Importance, component: &str, text: &str) {
    if let Some(logs) = LOGS.get() {
        logs.push(importance, component, text);
    }
}

/// Sends the buffered lines to the writer thread at regular intervals.
pub(crate) async fn flush_periodically(logs: Arc<Logs>) {
    loop {
        tokio::time::sleep(BATCH_INTERVAL).await;
        logs.flush();
    }
}

fn write_batches(batches: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(batch) = batches.recv() {
        // If the standard output is closed, the error cannot be reported anywhere.
        let _ = output.write_all(&batch);
        let _ = output.flush();
    }
}

/// Receives the log lines of the shared crates, which use the logging library.
struct BufferSink {
    prop: SinkProp,
    logs: Arc<Logs>,
}

impl GetSinkProp for BufferSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BufferSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let text = format!(
            "level={} text={:?}",
            record.level().as_str(),
            record.payload()
        );
        self.logs.push(Importance::StateChange, "shared", &text);
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}
