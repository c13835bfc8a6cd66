//! Encoding of the reports on crashes of engines, and of the verdicts.

use capnp::primitive_list;
use capnp::struct_list;
use quarantine::{CrashReport, Report, SoundReport, SuspectPart, Update, Verdict};

use crate::error::DecodeError;
use crate::peer_capnp as schema;

pub fn write_report(report: &Report, mut builder: schema::quarantine_report::Builder<'_>) {
    builder.set_version(report.version);
    // Most reports are empty, and an absent list takes no space.
    if !report.crashes.is_empty() {
        let mut list = builder.reborrow().init_crashes(report.crashes.len() as u32);
        for (index, crash) in (0..).zip(&report.crashes) {
            let mut builder = list.reborrow().get(index);
            builder.set_engine(crash.engine);
            builder.set_age_ms(crash.age_ms);
            let mut parts = builder.init_parts(crash.parts.len() as u32);
            for (index, part) in (0..).zip(&crash.parts) {
                let mut builder = parts.reborrow().get(index);
                builder.set_key(part.key);
                builder.set_depth(part.depth);
            }
        }
    }
    if !report.sound.is_empty() {
        let mut list = builder.reborrow().init_sound(report.sound.len() as u32);
        for (index, sound) in (0..).zip(&report.sound) {
            let mut builder = list.reborrow().get(index);
            builder.set_part(sound.part);
            builder.set_age_ms(sound.age_ms);
        }
    }
    if !report.refused.is_empty() {
        write_keys(
            &report.refused,
            builder.reborrow().init_refused(report.refused.len() as u32),
        );
    }
    if !report.verdicts.is_empty() {
        write_verdicts(
            &report.verdicts,
            builder.init_verdicts(report.verdicts.len() as u32),
        );
    }
}

pub fn read_report(reader: schema::quarantine_report::Reader<'_>) -> Result<Report, DecodeError> {
    Ok(Report {
        crashes: reader
            .get_crashes()?
            .iter()
            .map(read_crash)
            .collect::<Result<_, _>>()?,
        sound: reader
            .get_sound()?
            .iter()
            .map(|sound| SoundReport {
                part: sound.get_part(),
                age_ms: sound.get_age_ms(),
            })
            .collect(),
        refused: reader.get_refused()?.iter().collect(),
        version: reader.get_version(),
        verdicts: reader.get_verdicts()?.iter().map(read_verdict).collect(),
    })
}

pub fn write_update(update: &Update, mut builder: schema::quarantine_update::Builder<'_>) {
    builder.set_version(update.version);
    if !update.watched.is_empty() {
        write_keys(
            &update.watched,
            builder.reborrow().init_watched(update.watched.len() as u32),
        );
    }
    if !update.verdicts.is_empty() {
        write_verdicts(
            &update.verdicts,
            builder
                .reborrow()
                .init_verdicts(update.verdicts.len() as u32),
        );
    }
    if !update.trials.is_empty() {
        write_keys(
            &update.trials,
            builder.init_trials(update.trials.len() as u32),
        );
    }
}

pub fn read_update(reader: schema::quarantine_update::Reader<'_>) -> Result<Update, DecodeError> {
    Ok(Update {
        watched: reader.get_watched()?.iter().collect(),
        version: reader.get_version(),
        verdicts: reader.get_verdicts()?.iter().map(read_verdict).collect(),
        trials: reader.get_trials()?.iter().collect(),
    })
}

fn read_crash(reader: schema::crash_report::Reader<'_>) -> Result<CrashReport, DecodeError> {
    Ok(CrashReport {
        engine: reader.get_engine(),
        parts: reader
            .get_parts()?
            .iter()
            .map(|part| SuspectPart {
                key: part.get_key(),
                depth: part.get_depth(),
            })
            .collect(),
        age_ms: reader.get_age_ms(),
    })
}

fn write_keys(keys: &[u64], mut builder: primitive_list::Builder<'_, u64>) {
    for (index, key) in (0..).zip(keys) {
        builder.set(index, *key);
    }
}

fn write_verdicts(
    verdicts: &[Verdict],
    mut list: struct_list::Builder<'_, schema::verdict::Owned>,
) {
    for (index, verdict) in (0..).zip(verdicts) {
        let mut builder = list.reborrow().get(index);
        builder.set_part(verdict.part);
        builder.set_revision(verdict.revision);
        builder.set_is_blocked(verdict.is_blocked);
        builder.set_crashes(verdict.crashes);
        builder.set_trials(verdict.trials);
        builder.set_age_ms(verdict.age_ms);
        builder.set_retry_in_ms(verdict.retry_in_ms);
    }
}

fn read_verdict(reader: schema::verdict::Reader<'_>) -> Verdict {
    Verdict {
        part: reader.get_part(),
        revision: reader.get_revision(),
        is_blocked: reader.get_is_blocked(),
        crashes: reader.get_crashes(),
        trials: reader.get_trials(),
        age_ms: reader.get_age_ms(),
        retry_in_ms: reader.get_retry_in_ms(),
    }
}
