//! `apply` and `return-to`: show the changes that a configuration makes and apply them.

use std::time::Duration;

use conf::admin::{ApplyReply, ApplyRequest, FileText, RevisionInfo, StatusReply};
use conf::diff::{self, Change};
use conf::{Loaded, Name, ServiceConfig};
use tokio::time::{Instant, sleep};

use crate::cli::{Apply, ReturnTo};
use crate::client::Client;
use crate::error::Error;
use crate::status::time_text;
use crate::terminal::{confirm, print, print_stderr};

/// Delay before an apply request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the status is read until a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Upper limit of the wait, in seconds. Without it, adding the wait to the current time could overflow.
const MAX_WAIT_S: u64 = 86_400;

/// Options that `apply` and `return-to` have in common.
struct ChangeOptions<'a> {
    dry_run: bool,
    yes: bool,
    author: &'a str,
    wait: Duration,
}

/// Applies the configuration of a folder.
pub async fn apply(options: &Apply) -> Result<(), Error> {
    let loaded = conf::load::service(&options.folder)?;
    let client = Client::new(options.admin, &options.token_file)?;
    let change_options = ChangeOptions {
        dry_run: options.dry_run,
        yes: options.yes,
        author: &options.author,
        wait: wait_time(options.wait_s),
    };
    apply_loaded(&client, loaded, &change_options).await
}

/// Applies the files of an earlier revision as a new revision.
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
        print_stderr(
            "this version of mustardstack reads the files of the earlier revision differently; check the changes",
        );
    }
    let change_options = ChangeOptions {
        dry_run: options.dry_run,
        yes: options.yes,
        author: &options.author,
        wait: wait_time(options.wait_s),
    };
    apply_loaded(&client, loaded, &change_options).await
}

fn wait_time(wait_s: u64) -> Duration {
    Duration::from_secs(wait_s.min(MAX_WAIT_S))
}

fn load_files(files: Vec<FileText>) -> Result<Loaded<ServiceConfig>, Error> {
    let loaded = conf::load::service_from_files(files);
    Ok(loaded.map_err(conf::load::Error::Invalid)?)
}

async fn apply_loaded(
    client: &Client,
    loaded: Loaded<ServiceConfig>,
    change_options: &ChangeOptions<'_>,
) -> Result<(), Error> {
    loaded.warnings.iter().for_each(print_stderr);
    let base: RevisionInfo = client.get("/admin/config").await?;
    let changes = diff::service(&parse_configuration(&base)?, &loaded.value);
    if changes.is_empty() {
        print(format!(
            "revision {} already has this content",
            base.revision
        ));
        return Ok(());
    }
    changes.iter().for_each(print);
    if change_options.dry_run {
        return Ok(());
    }
    let consequence = format!(
        "This replaces revision {}: {}.",
        base.revision,
        count_text(&changes)
    );
    confirm(&consequence, change_options.yes)?;
    let request = apply_request(&base, loaded, change_options.author);
    let revision = submit(client, &request, &base, change_options.wait).await?;
    wait_in_force(client, revision, change_options.wait).await
}

fn apply_request(base: &RevisionInfo, loaded: Loaded<ServiceConfig>, author: &str) -> ApplyRequest {
    let canonical = loaded.value.canonical_text();
    ApplyRequest {
        base_revision: base.revision,
        content_id: conf::content_id(&canonical),
        canonical: Name::from(canonical),
        files: loaded.files,
        author: Name::new(author),
    }
}

/// Sends an apply request until the instance answers it, and returns the accepted revision. Each resend has the same
/// base revision and content id, so that the change is accepted only once.
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
            Ok(ApplyReply::Conflict { .. }) => return Err(conflict_error(client, base).await),
            Ok(ApplyReply::Invalid { errors }) => return Err(Error::Invalid(errors.join("\n"))),
            Ok(ApplyReply::Unavailable { message }) => format!("no majority: {message}"),
            Err(Error::Unavailable(message)) => message,
            Err(error) => return Err(error),
        };
        if Instant::now() + RESEND_DELAY >= deadline {
            return Err(Error::Unavailable(format!(
                "{reason}; the change may still be accepted, and it is safe to apply it again"
            )));
        }
        print_stderr(format!("{reason}; sending the change again"));
        sleep(RESEND_DELAY).await;
    }
}

/// Returns an error that lists the revisions after the base, their authors and the changes since the base.
async fn conflict_error(client: &Client, base: &RevisionInfo) -> Error {
    let mut lines = vec![format!("revision {} has been replaced:", base.revision)];
    match client.get::<Vec<RevisionInfo>>("/admin/history").await {
        Ok(history) => {
            let newer = history.iter().filter(|info| info.revision > base.revision);
            lines.extend(newer.map(|info| {
                let time = time_text(info.at_ms);
                format!("revision {} by {} at {time}", info.revision, info.author)
            }));
        }
        Err(error) => lines.push(format!("the history could not be read: {error}")),
    }
    match changes_since(client, base).await {
        Ok(changes) => lines.extend(changes.iter().map(ToString::to_string)),
        Err(error) => lines.push(format!("the difference could not be computed: {error}")),
    }
    lines.push("nothing was changed by this command".to_owned());
    Error::Conflict(lines.join("\n"))
}

async fn changes_since(client: &Client, base: &RevisionInfo) -> Result<Vec<Change>, Error> {
    let current: RevisionInfo = client.get("/admin/config").await?;
    Ok(diff::service(
        &parse_configuration(base)?,
        &parse_configuration(&current)?,
    ))
}

/// Waits until the revision is in force on every live instance.
async fn wait_in_force(client: &Client, revision: u64, wait: Duration) -> Result<(), Error> {
    let deadline = Instant::now() + wait;
    loop {
        let progress = match client.get::<StatusReply>("/admin/status").await {
            Ok(status) => Progress::from_status(&status, revision),
            Err(error) => Progress::unknown(error.to_string()),
        };
        if progress.is_done {
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

/// State of a change that is being put in force, and its description for the operator.
struct Progress {
    is_done: bool,
    text: String,
}

impl Progress {
    fn from_status(status: &StatusReply, revision: u64) -> Self {
        // Until the instance itself has the revision in force, its counts refer to an earlier revision.
        if status.revision < revision || status.live_instances == 0 {
            let text = format!(
                "{} has revision {} in force",
                status.instance, status.revision
            );
            return Self::unknown(text);
        }
        let (in_force, live) = (status.instances_in_force, status.live_instances);
        let not_live = status.instances.iter().filter(|instance| !instance.live);
        let not_live: Vec<_> = not_live.map(|instance| instance.id.as_str()).collect();
        let mut text = format!("in force on {in_force} of {live} instances");
        if !not_live.is_empty() {
            text += &format!(" (not live: {})", not_live.join(", "));
        }
        Self {
            is_done: in_force >= live,
            text,
        }
    }

    fn unknown(text: String) -> Self {
        Self {
            is_done: false,
            text,
        }
    }
}

/// Parses the configuration of a revision. Revision 0 has the default configuration, which is empty.
fn parse_configuration(info: &RevisionInfo) -> Result<ServiceConfig, Error> {
    if info.canonical.is_empty() {
        return Ok(ServiceConfig::default());
    }
    ServiceConfig::from_canonical_text(&info.canonical).map_err(|error| {
        let message = format!(
            "cannot parse the configuration of revision {}: {error}",
            info.revision
        );
        Error::Refused(message)
    })
}

fn count_text(changes: &[Change]) -> String {
    match changes.len() {
        1 => "1 item changes".to_owned(),
        several => format!("{several} items change"),
    }
}
