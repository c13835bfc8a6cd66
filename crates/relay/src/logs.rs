//! Structured log lines on the standard output, bounded and written by a thread of its own.
//!
//! Nothing that serves requests waits for the output: lines go to a bounded buffer, which a thread empties. When the
//! buffer is full, the lines of least importance are dropped first, and a line says how many were.

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

/// Bytes of lines that wait to be written. Beyond that, lines are dropped.
pub const BUFFER_BYTES: usize = 512 * 1024;
/// Share of the buffer, in percent, beyond which only more important lines are taken.
const STEP_LIMIT_PERCENT: usize = 60;
/// Share of the buffer, in percent, that only the ends of failed requests may use.
const BELIEF_LIMIT_PERCENT: usize = 80;
/// Interval between two batches to the writer thread. Each wakes it once.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Batches that wait for the writer thread.
const BATCHES: usize = 1;

static LOGS: OnceLock<Arc<Logs>> = OnceLock::new();

/// The buffer and the writer thread.
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

/// Lines that wait, and the number of those dropped.
#[derive(Debug, Default)]
pub struct Buffer {
    lines: VecDeque<String>,
    bytes: usize,
    dropped: [u64; 3],
}

impl Buffer {
    /// Takes a line unless the part of the buffer that its importance allows is full.
    pub fn push(&mut self, importance: Importance, line: String) {
        let limit = match importance {
            Importance::Step => BUFFER_BYTES / 100 * STEP_LIMIT_PERCENT,
            Importance::StateChange => BUFFER_BYTES / 100 * BELIEF_LIMIT_PERCENT,
            Importance::Failure => BUFFER_BYTES,
        };
        if self.bytes + line.len() > limit {
            self.dropped[importance as usize] += 1;
            return;
        }
        self.bytes += line.len();
        self.lines.push_back(line);
    }

    /// Returns the number of lines dropped since the last batch, by importance.
    pub fn dropped(&self) -> [u64; 3] {
        self.dropped
    }

    /// Takes all lines, with a line about those dropped.
    pub fn take_batch(&mut self, instance: &str) -> Vec<u8> {
        let mut batch = Vec::with_capacity(self.bytes);
        for line in self.lines.drain(..) {
            batch.extend_from_slice(line.as_bytes());
        }
        self.bytes = 0;
        let [steps, beliefs, failures] = std::mem::take(&mut self.dropped);
        if steps + beliefs + failures > 0 {
            let text = format!(
                "part=logs instance={instance} outcome=dropped steps={steps} beliefs={beliefs} failures={failures}\n"
            );
            batch.extend_from_slice(text.as_bytes());
            metrics::counter!("mustardstack_log_lines_dropped_total")
                .increment(steps + beliefs + failures);
        }
        batch
    }
}

impl Logs {
    fn buffer(&self) -> MutexGuard<'_, Buffer> {
        // A panic while a line was added leaves the buffer usable.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, importance: Importance, part: &str, text: &str) {
        let time_ms = node::clock::unix_ms();
        let line = format!(
            "time_ms={time_ms} instance={} part={part} {text}\n",
            self.instance
        );
        self.buffer().push(importance, line);
    }

    /// Hands the waiting lines to the writer thread unless it is busy.
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
                // The lines wait in one piece until the output takes more.
                let text = String::from_utf8_lossy(&batch).into_owned();
                buffer.bytes = text.len();
                buffer.lines.push_front(text);
            }
            Err(TrySendError::Disconnected(_)) => buffer.dropped[0] += lines as u64,
        }
    }

    /// Writes what waits and ends the writer thread.
    pub fn finish(&self) {
        let writer = self
            .writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(writer) = writer {
            let batch = self.buffer().take_batch(&self.instance);
            // A thread that has ended can write nothing.
            let _ = writer.batches.send(batch);
            drop(writer.batches);
            let _ = writer.thread.join();
        }
    }
}

/// Sets the process's logs up.
///
/// # Errors
/// Fails if the writer thread cannot be started.
pub fn install(settings: &Settings) -> Result<Arc<Logs>, Error> {
    let (batches, receiver) = sync_channel(BATCHES);
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

/// Writes a line of `part`. `text` holds fields as `name=value`.
pub fn line(importance: Importance, part: &str, text: &str) {
    if let Some(logs) = LOGS.get() {
        logs.push(importance, part, text);
    }
}

/// Hands lines to the writer thread at intervals.
pub(crate) async fn drain(logs: Arc<Logs>) {
    loop {
        tokio::time::sleep(BATCH_INTERVAL).await;
        logs.flush();
    }
}

fn write_batches(batches: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(batch) = batches.recv() {
        // Where the output is gone, there is nowhere to say so.
        let _ = output.write_all(&batch);
        let _ = output.flush();
    }
}

/// Takes the lines of shared parts, which log through the library.
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
