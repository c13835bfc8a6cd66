//! Encoding of the ledger's at-most-once records, of the commands that change the records, and of the replies.

use bytes::Bytes;
use conf::Name;
use ledger::{Answer, AttemptId, Begin, BeginReply, Finish, Key, Outcome, Record, RecordState};

use crate::config::read_name;
use crate::error::DecodeError;
use crate::peer_capnp as schema;

fn write_ledger_key(key: &Key, mut builder: schema::key::Builder<'_>) {
    builder.set_tenant(key.client_account.as_str());
    builder.set_key(key.key.as_str());
}

fn read_ledger_key(reader: schema::key::Reader<'_>) -> Result<Key, DecodeError> {
    Ok(Key {
        client_account: read_name(reader.get_tenant())?,
        key: read_name(reader.get_key())?,
    })
}

fn write_attempt_id(attempt: &AttemptId, mut builder: schema::attempt_id::Builder<'_>) {
    builder.set_instance(attempt.instance.as_str());
    builder.set_incarnation(attempt.incarnation);
    builder.set_sequence(attempt.sequence);
}

fn read_attempt_id(reader: schema::attempt_id::Reader<'_>) -> Result<AttemptId, DecodeError> {
    Ok(AttemptId {
        instance: read_name(reader.get_instance())?,
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
    })
}

fn write_header(name: &Name, value: &Name, mut builder: schema::header::Builder<'_>) {
    builder.set_name(name.as_str());
    builder.set_value(value.as_str());
}

fn read_header(reader: schema::header::Reader<'_>) -> Result<(Name, Name), DecodeError> {
    Ok((
        read_name(reader.get_name())?,
        read_name(reader.get_value())?,
    ))
}

fn read_sha256(data: &[u8]) -> Result<[u8; 32], DecodeError> {
    data.try_into()
        .map_err(|_| DecodeError::DigestLength { bytes: data.len() })
}

fn write_answer(answer: &Answer, mut builder: schema::answer::Builder<'_>) {
    builder.set_status(answer.status);
    let mut headers = builder.reborrow().init_headers(answer.headers.len() as u32);
    for (index, (name, value)) in (0..).zip(&answer.headers) {
        write_header(name, value, headers.reborrow().get(index));
    }
    builder.set_body(&answer.body);
    builder.set_truncated(answer.truncated);
}

fn read_answer(reader: schema::answer::Reader<'_>) -> Result<Answer, DecodeError> {
    Ok(Answer {
        status: reader.get_status(),
        headers: reader
            .get_headers()?
            .iter()
            .map(read_header)
            .collect::<Result<_, _>>()?,
        body: Bytes::copy_from_slice(reader.get_body()?),
        truncated: reader.get_truncated(),
    })
}

pub fn write_begin(begin: &Begin, mut builder: schema::begin::Builder<'_>) {
    write_ledger_key(&begin.key, builder.reborrow().init_key());
    builder.set_body_sha256(&begin.body_sha256);
    write_attempt_id(&begin.attempt, builder.reborrow().init_attempt());
    builder.set_answer_timeout_ms(begin.answer_timeout_ms);
    builder.set_retention_ms(begin.retention_ms);
}

pub fn read_begin(reader: schema::begin::Reader<'_>) -> Result<Begin, DecodeError> {
    Ok(Begin {
        key: read_ledger_key(reader.get_key()?)?,
        body_sha256: read_sha256(reader.get_body_sha256()?)?,
        attempt: read_attempt_id(reader.get_attempt()?)?,
        answer_timeout_ms: reader.get_answer_timeout_ms(),
        retention_ms: reader.get_retention_ms(),
    })
}

pub fn write_begin_reply(reply: &BeginReply, mut builder: schema::begin_reply::Builder<'_>) {
    match reply {
        BeginReply::Granted => builder.set_granted(()),
        BeginReply::Answered(answer) => write_answer(answer, builder.init_answered()),
        BeginReply::Running => builder.set_running(()),
        BeginReply::Unknown => builder.set_unknown(()),
        BeginReply::BodyMismatch => builder.set_body_mismatch(()),
    }
}

pub fn read_begin_reply(
    reader: schema::begin_reply::Reader<'_>,
) -> Result<BeginReply, DecodeError> {
    Ok(match reader.which()? {
        schema::begin_reply::Granted(()) => BeginReply::Granted,
        schema::begin_reply::Answered(answer) => BeginReply::Answered(read_answer(answer?)?),
        schema::begin_reply::Running(()) => BeginReply::Running,
        schema::begin_reply::Unknown(()) => BeginReply::Unknown,
        schema::begin_reply::BodyMismatch(()) => BeginReply::BodyMismatch,
    })
}

fn write_outcome(outcome: &Outcome, mut builder: schema::outcome::Builder<'_>) {
    match outcome {
        Outcome::Answered(answer) => write_answer(answer, builder.init_answered()),
        Outcome::NotRun => builder.set_not_run(()),
        Outcome::Unknown => builder.set_unknown(()),
    }
}

fn read_outcome(reader: schema::outcome::Reader<'_>) -> Result<Outcome, DecodeError> {
    Ok(match reader.which()? {
        schema::outcome::Answered(answer) => Outcome::Answered(read_answer(answer?)?),
        schema::outcome::NotRun(()) => Outcome::NotRun,
        schema::outcome::Unknown(()) => Outcome::Unknown,
    })
}

pub fn write_finish(finish: &Finish, mut builder: schema::finish::Builder<'_>) {
    write_ledger_key(&finish.key, builder.reborrow().init_key());
    write_attempt_id(&finish.attempt, builder.reborrow().init_attempt());
    write_outcome(&finish.outcome, builder.init_outcome());
}

pub fn read_finish(reader: schema::finish::Reader<'_>) -> Result<Finish, DecodeError> {
    Ok(Finish {
        key: read_ledger_key(reader.get_key()?)?,
        attempt: read_attempt_id(reader.get_attempt()?)?,
        outcome: read_outcome(reader.get_outcome()?)?,
    })
}

pub fn write_ledger_record(key: &Key, record: &Record, mut builder: schema::record::Builder<'_>) {
    write_ledger_key(key, builder.reborrow().init_key());
    builder.set_body_sha256(&record.body_sha256);
    write_attempt_id(&record.attempt, builder.reborrow().init_attempt());
    builder.set_answer_deadline_ms(record.answer_deadline_ms);
    builder.set_expiry_deadline_ms(record.expiry_deadline_ms);
    let ended = &record.ended_attempts;
    let mut attempts = builder.reborrow().init_ended_attempts(ended.len() as u32);
    for (index, attempt) in (0..).zip(ended) {
        write_attempt_id(attempt, attempts.reborrow().get(index));
    }
    let mut state = builder.init_state();
    match &record.state {
        RecordState::Begun => state.set_begun(()),
        RecordState::Answered(answer) => write_answer(answer, state.init_answered()),
        RecordState::NotRun => state.set_not_run(()),
        RecordState::Unknown => state.set_unknown(()),
    }
}

pub fn read_ledger_record(
    reader: schema::record::Reader<'_>,
) -> Result<(Key, Record), DecodeError> {
    use schema::record::state;
    let record = Record {
        body_sha256: read_sha256(reader.get_body_sha256()?)?,
        attempt: read_attempt_id(reader.get_attempt()?)?,
        answer_deadline_ms: reader.get_answer_deadline_ms(),
        expiry_deadline_ms: reader.get_expiry_deadline_ms(),
        ended_attempts: reader
            .get_ended_attempts()?
            .iter()
            .map(read_attempt_id)
            .collect::<Result<_, _>>()?,
        state: match reader.get_state().which()? {
            state::Begun(()) => RecordState::Begun,
            state::Answered(answer) => RecordState::Answered(read_answer(answer?)?),
            state::NotRun(()) => RecordState::NotRun,
            state::Unknown(()) => RecordState::Unknown,
        },
    };
    Ok((read_ledger_key(reader.get_key()?)?, record))
}
