//! `apply` and `return-to`: show what a configuration changes and put it in force.

use std::time::Duration;

use conf::admin::{ApplyReply, ApplyRequest, FileText, RevisionInfo, StatusReply};
use conf::diff::{self, Change};
use conf::{Loaded, Name, ServiceConfig};
use tokio::time::{Instant, sleep};

use crate::cli::{Apply, ReturnTo};
use crate::client::Client;
use crate::error::Error;
use crate::status::time_text;
use crate::terminal::{complain, confirm, print};

/// Pause before a request is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which the status is read while a change takes effect.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait, in seconds. It keeps the deadline within what a clock can hold.
const MAX_WAIT_S: u64 = 86_400;

/// How a change is made.
struct Manner<'a> {
    dry_run: bool,
    yes: bool,
    author: &'a str,
    wait: Duration,
}

/// Applies a folder.
pub async fn apply(options: &Apply) -> Result<(), Error> {
    let loaded = conf::load::service(&options.folder)?;
    let client = Client::new(options.admin, &options.token_file)?;
    let manner = Manner {
        dry_run: options.dry_run,
        yes: options.yes,
        author: &options.author,
        wait: wait(options.wait_s),
    };
    change(&client, loaded, &manner).await
}

/// Applies the files of an earlier revision.
pub async fn return_to(options: &ReturnTo) -> Result<(), Error> {
    let client = Client::new(options.admin, &options.token_file)?;
    let path = format!("/admin/history/{}", options.revision);
    let earlier: RevisionInfo = client.get(&path).await?;
    if earlier.revision != options.revision {
        let message = format!("revision {} is not kept", options.revision);
        return Err(Error::Refused(message));
    }
    if earlier.files.is_empty() {
        let message = format!("the files of revision {} are not kept", options.revision);
        return Err(Error::Refused(message));
    }
    let loaded = load_files(earlier.files)?;
    if loaded.value.content_id() != earlier.content_id {
        complain("this version reads the files of that revision differently; see the difference");
    }
    let manner = Manner {
        dry_run: options.dry_run,
        yes: options.yes,
        author: &options.author,
        wait: wait(options.wait_s),
    };
    change(&client, loaded, &manner).await
}

fn wait(wait_s: u64) -> Duration {
    Duration::from_secs(wait_s.min(MAX_WAIT_S))
}

fn load_files(files: Vec<FileText>) -> Result<Loaded<ServiceConfig>, Error> {
    let loaded = conf::load::service_from_files(files);
    Ok(loaded.map_err(conf::load::Error::Invalid)?)
}

async fn change(
    client: &Client,
    loaded: Loaded<ServiceConfig>,
    manner: &Manner<'_>,
) -> Result<(), Error> {
    loaded.warnings.iter().for_each(complain);
    let base: RevisionInfo = client.get("/admin/config").await?;
    let changes = diff::service(&configuration(&base)?, &loaded.value);
    if changes.is_empty() {
        print(format!(
            "revision {} already has this content",
            base.revision
        ));
        return Ok(());
    }
    changes.iter().for_each(print);
    if manner.dry_run {
        return Ok(());
    }
    let consequence = format!(
        "This replaces revision {}: {}.",
        base.revision,
        count(&changes)
    );
    confirm(&consequence, manner.yes)?;
    let request = request(&base, loaded, manner.author);
    let revision = submit(client, &request, &base, manner.wait).await?;
    wait_in_force(client, revision, manner.wait).await
}

fn request(base: &RevisionInfo, loaded: Loaded<ServiceConfig>, author: &str) -> ApplyRequest {
    let canonical = loaded.value.canonical_text();
    ApplyRequest {
        base_revision: base.revision,
        content_id: conf::content_id(&canonical),
        canonical: Name::from(canonical),
        files: loaded.files,
        author: Name::new(author),
    }
}

/// Sends a change until it is answered. A resend has the same base and content id, so that it is
/// accepted only once.
async fn submit(
    client: &Client,
    request: &ApplyRequest,
    base: &RevisionInfo,
    wait: Duration,
) -> Result<u64, Error> {
    let deadline = Instant::now() + wait;
    loop {
        let reason = match client.post("/admin/apply", request).await {
            Ok(ApplyReply::Accepted { revision }) => return Ok(revision),
            Ok(ApplyReply::Conflict { .. }) => return Err(conflict(client, base).await),
            Ok(ApplyReply::Invalid { errors }) => return Err(Error::Invalid(errors.join("\n"))),
            Ok(ApplyReply::Unavailable { message }) => format!("no majority: {message}"),
            Err(Error::Unavailable(message)) => message,
            Err(error) => return Err(error),
        };
        if Instant::now() + RESEND_PAUSE >= deadline {
            return Err(Error::Unavailable(format!(
                "{reason}; the change may still be accepted, and it is safe to apply it again"
            )));
        }
        complain(format!("{reason}; sending the change again"));
        sleep(RESEND_PAUSE).await;
    }
}

/// Says what was changed since the base, and by whom.
async fn conflict(client: &Client, base: &RevisionInfo) -> Error {
    let mut lines = vec![format!("revision {} has been replaced:", base.revision)];
    match client.get::<Vec<RevisionInfo>>("/admin/history").await {
        Ok(history) => {
            let newer = history
                .iter()
                .filter(|found| found.revision > base.revision);
            lines.extend(newer.map(|found| {
                let at = time_text(found.at_ms);
                format!("revision {} by {} at {at}", found.revision, found.author)
            }));
        }
        Err(error) => lines.push(format!("the history is not known: {error}")),
    }
    match changes_since(client, base).await {
        Ok(changes) => lines.extend(changes.iter().map(ToString::to_string)),
        Err(error) => lines.push(format!("the difference is not known: {error}")),
    }
    lines.push("nothing was changed by this command".to_owned());
    Error::Conflict(lines.join("\n"))
}

async fn changes_since(client: &Client, base: &RevisionInfo) -> Result<Vec<Change>, Error> {
    let current: RevisionInfo = client.get("/admin/config").await?;
    Ok(diff::service(
        &configuration(base)?,
        &configuration(&current)?,
    ))
}

/// Waits until every live instance has the revision in force.
async fn wait_in_force(client: &Client, revision: u64, wait: Duration) -> Result<(), Error> {
    let deadline = Instant::now() + wait;
    loop {
        let progress = match client.get::<StatusReply>("/admin/status").await {
            Ok(status) => Progress::of(&status, revision),
            Err(error) => Progress::unknown(error.to_string()),
        };
        if progress.done {
            print(format!("revision {revision}, {}", progress.text));
            return Ok(());
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            let text = progress.text;
            return Err(Error::NotInForce(format!(
                "revision {revision} is accepted, {text} after {} s",
                wait.as_secs()
            )));
        }
        sleep(POLL_INTERVAL).await;
    }
}

struct Progress {
    done: bool,
    text: String,
}

impl Progress {
    fn of(status: &StatusReply, revision: u64) -> Self {
        // Before the instance itself has the revision, its counts are about an earlier one.
        if status.revision < revision || status.live_instances == 0 {
            let text = format!(
                "{} has revision {} in force",
                status.instance, status.revision
            );
            return Self::unknown(text);
        }
        let (in_force, live) = (status.instances_in_force, status.live_instances);
        let silent = status.instances.iter().filter(|found| !found.live);
        let silent: Vec<_> = silent.map(|found| found.id.as_str()).collect();
        let mut text = format!("in force on {in_force} of {live} instances");
        if !silent.is_empty() {
            text += &format!(" (not live: {})", silent.join(", "));
        }
        Self {
            done: in_force >= live,
            text,
        }
    }

    fn unknown(text: String) -> Self {
        Self { done: false, text }
    }
}

/// Reads the configuration of a revision. Revision 0 has none.
fn configuration(info: &RevisionInfo) -> Result<ServiceConfig, Error> {
    if info.canonical.is_empty() {
        return Ok(ServiceConfig::default());
    }
    ServiceConfig::from_canonical_text(&info.canonical).map_err(|error| {
        let message = format!("cannot read revision {}: {error}", info.revision);
        Error::Refused(message)
    })
}

fn count(changes: &[Change]) -> String {
    match changes.len() {
        1 => "1 item changes".to_owned(),
        several => format!("{several} items change"),
    }
}
