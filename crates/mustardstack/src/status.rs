//! `status` and `history`: print the state of the system and the revisions of the configuration.

use chrono::{DateTime, SecondsFormat};
use conf::admin::{InstanceStatus, RevisionInfo, StatusReply, UpstreamStatus};
use serde::Serialize;

use crate::cli::{History, Status};
use crate::client::Client;
use crate::error::Error;
use crate::terminal::print;

/// Number of digits of a content id that `history` prints.
const SHORT_ID_DIGITS: usize = 12;

/// Prints the state of the system as one instance knows it.
pub async fn status(options: &Status) -> Result<(), Error> {
    let client = Client::new(options.admin, &options.token_file)?;
    let status: StatusReply = client.get("/admin/status").await?;
    match options.json {
        true => print_json(&status),
        false => {
            print_status(&status);
            Ok(())
        }
    }
}

/// Prints the revisions of the configuration, one a line.
pub async fn history(options: &History) -> Result<(), Error> {
    let client = Client::new(options.admin, &options.token_file)?;
    let history: Vec<RevisionInfo> = client.get("/admin/history").await?;
    if options.json {
        return print_json(&history);
    }
    for info in &history {
        let time = time_text(info.at_ms);
        let id: String = info.content_id.chars().take(SHORT_ID_DIGITS).collect();
        print(format!("{}  {time}  {id}  {}", info.revision, info.author));
    }
    Ok(())
}

/// Formats a time in milliseconds since the Unix epoch as a UTC date and time.
pub fn time_text(at_ms: u64) -> String {
    let at = i64::try_from(at_ms).ok();
    let date = at.and_then(DateTime::from_timestamp_millis);
    date.map_or_else(
        || format!("{at_ms} ms"),
        |date| date.to_rfc3339_opts(SecondsFormat::Secs, true),
    )
}

fn print_json<T: Serialize>(value: &T) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value);
    print(text.map_err(|error| Error::Refused(error.to_string()))?);
    Ok(())
}

fn print_status(status: &StatusReply) {
    let ready = if status.ready { "ready" } else { "not ready" };
    let current = match status.config_current {
        true => "current",
        false => "may be outdated",
    };
    print(format!(
        "instance {} in zone {}, {ready}{}",
        status.instance,
        status.availability_zone,
        draining_text(status.draining)
    ));
    print(format!("revision {}, {current}", status.revision));
    match status.live_instances {
        0 => print("in force elsewhere: not known to this instance"),
        live => print(format!(
            "in force on {} of {live} live instances",
            status.instances_in_force
        )),
    }
    print_voters(status);
    let queued: Vec<_> = status.queued_by_rank.iter().map(u64::to_string).collect();
    print(format!(
        "open exchanges {}, waiting by rank {}",
        status.open_exchanges,
        queued.join(" ")
    ));
    status.instances.iter().map(instance_line).for_each(print);
    status.upstreams.iter().map(upstream_line).for_each(print);
    let degraded = status.degraded.iter();
    degraded.for_each(|reason| print(format!("degraded: {reason}")));
}

fn print_voters(status: &StatusReply) {
    let leader = status.leader.as_deref().unwrap_or("not known");
    let mut line = format!("leader {leader}");
    if let (Some(term), Some(index)) = (status.term, status.commit_index) {
        line += &format!(", term {term}, commit index {index}");
    }
    print(line);
    if !status.voters.is_empty() {
        print(format!("voters {}", status.voters.join(", ")));
    }
    if !status.learners.is_empty() {
        print(format!("learners {}", status.learners.join(", ")));
    }
}

fn instance_line(instance: &InstanceStatus) -> String {
    let live = if instance.live { "live" } else { "not live" };
    format!(
        "instance {} in zone {}, {live}{}, revision {}",
        instance.id,
        instance.availability_zone,
        draining_text(instance.draining),
        instance.revision
    )
}

fn upstream_line(upstream: &UpstreamStatus) -> String {
    let reachable = match upstream.reachable {
        true => "reachable",
        false => "not reachable",
    };
    let gate = upstream.gate.as_deref().unwrap_or("none");
    format!(
        "upstream {} of {} in zone {}, {}, {reachable}{}, running {}, waiting {}, gate {gate} epoch {}",
        upstream.name,
        upstream.service,
        upstream.availability_zone,
        upstream.role,
        draining_text(upstream.draining),
        upstream.running,
        upstream.waiting,
        upstream.epoch
    )
}

fn draining_text(draining: bool) -> &'static str {
    if draining { ", draining" } else { "" }
}
