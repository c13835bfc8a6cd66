//! Reports that are sent several times, since messages may be lost.

use conf::Map;

use crate::evidence::SAME_ENGINE_MS;
use crate::message::{CrashReport, SoundReport, SuspectPart};

/// Crash reports that wait to be sent. Beyond this number the oldest are dropped.
const MAX_CRASHES: usize = 32;
/// Parts in a crash report. An engine runs fewer requests at a time.
const MAX_PARTS: usize = 256;
/// Sound parts that wait to be sent.
const MAX_SOUND: usize = 256;

#[derive(Clone, Debug)]
struct Crash {
    engine: u64,
    parts: Vec<SuspectPart>,
    at_ms: u64,
    send_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sound {
    began_ms: u64,
    send_until_ms: u64,
}

/// Reports to another instance.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    crashes: Vec<Crash>,
    sound: Map<u64, Sound>,
}

impl Reports {
    /// Adds parts to the report of a crash. The report is sent until `send_until_ms`.
    pub fn add_crash(
        &mut self,
        engine: u64,
        at_ms: u64,
        parts: &[SuspectPart],
        send_until_ms: u64,
    ) {
        let known = self
            .crashes
            .iter_mut()
            .find(|crash| crash.engine == engine && crash.at_ms.abs_diff(at_ms) < SAME_ENGINE_MS);
        let crash = match known {
            Some(crash) => crash,
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.remove(0);
                }
                self.crashes.push(Crash {
                    engine,
                    parts: Vec::new(),
                    at_ms,
                    send_until_ms,
                });
                let last = self.crashes.len() - 1;
                &mut self.crashes[last]
            }
        };
        crash.send_until_ms = crash.send_until_ms.max(send_until_ms);
        for part in parts {
            if crash.parts.len() < MAX_PARTS && !crash.parts.contains(part) {
                crash.parts.push(*part);
            }
        }
    }

    /// Adds that an engine began to generate from a part at `began_ms` and generates.
    pub fn add_sound(&mut self, part: u64, began_ms: u64, send_until_ms: u64) {
        if self.sound.len() >= MAX_SOUND && !self.sound.contains_key(&part) {
            return;
        }
        let sound = self.sound.entry(part).or_insert(Sound {
            began_ms,
            send_until_ms,
        });
        if began_ms > sound.began_ms {
            *sound = Sound {
                began_ms,
                send_until_ms,
            };
        }
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }

    /// Returns the crash reports that are to be sent.
    pub fn crashes(&mut self, now_ms: u64) -> Vec<CrashReport> {
        self.crashes.retain(|crash| now_ms <= crash.send_until_ms);
        let reports = self.crashes.iter().map(|crash| CrashReport {
            engine: crash.engine,
            parts: crash.parts.clone(),
            age_ms: now_ms.saturating_sub(crash.at_ms),
        });
        reports.collect()
    }

    /// Returns the reports of sound parts that are to be sent.
    pub fn sound(&mut self, now_ms: u64) -> Vec<SoundReport> {
        self.sound.retain(|_, sound| now_ms <= sound.send_until_ms);
        let reports = self.sound.iter().map(|(part, sound)| SoundReport {
            part: *part,
            age_ms: now_ms.saturating_sub(sound.began_ms),
        });
        reports.collect()
    }
}
