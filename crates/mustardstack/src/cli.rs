//! Options and subcommands of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::{error, terminal};

/// Default time in seconds for which `apply` and `return-to` wait for an answer, and then again for the change to be
/// in force on every live instance. The target for a change is 7 s; the rest allows for a slow or lost answer.
const DEFAULT_WAIT_S: u64 = 30;

/// Serve language-model engines and plain services.
#[derive(FromArgs)]
pub struct Options {
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(Serve),
    Join(Join),
    Check(Check),
    Apply(Apply),
    Status(Status),
    History(History),
    ReturnTo(ReturnTo),
    Drain(Drain),
    Undrain(Undrain),
    Order(Order),
    ConfirmDead(ConfirmDead),
    ReplaceVoter(ReplaceVoter),
    Demo(Demo),
    Load(Load),
    Experiment(Experiment),
    Standin(Standin),
}

/// Run an instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// folder of the instance settings
    #[argh(positional)]
    pub folder: PathBuf,
}

/// Run an instance with the settings file that the platform writes.
#[derive(FromArgs)]
#[argh(subcommand, name = "join")]
pub struct Join {}

/// Validate a folder and print the merged result with the file of each value.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// folder of a service configuration
    #[argh(positional)]
    pub folder: PathBuf,
    /// the folder holds instance settings
    #[argh(switch)]
    pub settings: bool,
}

/// Show the changes that a configuration folder makes and apply them.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// folder of a service configuration
    #[argh(positional)]
    pub folder: PathBuf,
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// only show the difference
    #[argh(switch)]
    pub dry_run: bool,
    /// do not ask for confirmation
    #[argh(switch)]
    pub yes: bool,
    /// name in the history; by default the user's name
    #[argh(option, default = "default_author()")]
    pub author: String,
    /// seconds to wait for an answer and again for the change to be in force (30)
    #[argh(option, default = "DEFAULT_WAIT_S")]
    pub wait_s: u64,
}

/// Print the state of the system as one instance knows it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List the revisions of the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Apply the files of an earlier revision as a new revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "return-to")]
pub struct ReturnTo {
    /// number of the earlier revision
    #[argh(positional)]
    pub revision: u64,
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// only show the difference
    #[argh(switch)]
    pub dry_run: bool,
    /// do not ask for confirmation
    #[argh(switch)]
    pub yes: bool,
    /// name in the history; by default the user's name
    #[argh(option, default = "default_author()")]
    pub author: String,
    /// seconds to wait for an answer and again for the change to be in force (30)
    #[argh(option, default = "DEFAULT_WAIT_S")]
    pub wait_s: u64,
}

/// Stop new requests to an instance or an upstream; open requests finish.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// id of the instance
    #[argh(option)]
    pub instance: Option<String>,
    /// name of the upstream
    #[argh(option)]
    pub upstream: Option<String>,
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// do not ask for confirmation
    #[argh(switch)]
    pub yes: bool,
}

/// Allow new requests to a drained instance or upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct Undrain {
    /// id of the instance
    #[argh(option)]
    pub instance: Option<String>,
    /// name of the upstream
    #[argh(option)]
    pub upstream: Option<String>,
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
}

/// Order an engine to change its role, or to load or unload a model or adapter.
#[derive(FromArgs)]
#[argh(subcommand, name = "order")]
pub struct Order {
    /// name of the upstream
    #[argh(positional)]
    pub upstream: String,
    /// new role: prefill, decode or mixed
    #[argh(option, from_str_fn(parse_role))]
    pub role: Option<conf::Role>,
    /// model or adapter to load, as MODEL@VERSION or MODEL:ADAPTER
    #[argh(option)]
    pub load: Option<String>,
    /// model or adapter to unload, as MODEL@VERSION or MODEL:ADAPTER
    #[argh(option)]
    pub unload: Option<String>,
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// do not ask for confirmation
    #[argh(switch)]
    pub yes: bool,
}

/// Replace the voter of one instance by a voter on another instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "replace-voter")]
pub struct ReplaceVoter {
    /// id of the instance that runs a voter now
    #[argh(positional)]
    pub old: String,
    /// id of the instance that runs the new voter
    #[argh(positional)]
    pub new: String,
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// do not ask for confirmation
    #[argh(switch)]
    pub yes: bool,
}

/// Confirm that the process of an instance has ended, so that its order gates can move to other instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm-dead")]
pub struct ConfirmDead {
    /// id of the instance
    #[argh(positional)]
    pub instance: String,
    /// IP address and port of an instance's administration listener
    #[argh(option)]
    pub admin: SocketAddr,
    /// file that holds the administration token
    #[argh(option)]
    pub token_file: PathBuf,
    /// do not ask for confirmation
    #[argh(switch)]
    pub yes: bool,
}

/// Run a small system with embedded settings in one process.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {}

/// Send generated load and report which part was answered in time.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// file of the load's settings
    #[argh(option)]
    pub settings: PathBuf,
}

/// Compare policies by experiments with processes of this binary on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct Experiment {
    /// file of the experiment's settings
    #[argh(option)]
    pub settings: PathBuf,
    /// file to write the table to, instead of the terminal
    #[argh(option)]
    pub out: Option<PathBuf>,
}

/// Run a stand-in for an outside system.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct Standin {
    /// outside system to simulate: engine, service or platform
    #[argh(positional, from_str_fn(parse_standin_kind))]
    pub kind: StandinKind,
    /// file of the stand-in's settings
    #[argh(option)]
    pub settings: PathBuf,
}

/// The outside systems that have a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinKind {
    Engine,
    Service,
    Platform,
}

/// Parses the command line. A help text or a usage error is printed.
///
/// # Errors
/// Returns the exit code if there is no command to run.
pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Options, ExitCode> {
    let arguments: Vec<String> = arguments.skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Options::from_args(&["mustardstack"], &arguments).map_err(|exit| match exit.status {
        Ok(()) => {
            terminal::print(exit.output.trim_end());
            ExitCode::SUCCESS
        }
        Err(()) => {
            terminal::print_stderr(exit.output.trim_end());
            ExitCode::from(error::USAGE)
        }
    })
}

fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

fn parse_role(text: &str) -> Result<conf::Role, String> {
    match text {
        "prefill" => Ok(conf::Role::Prefill),
        "decode" => Ok(conf::Role::Decode),
        "mixed" => Ok(conf::Role::Mixed),
        _ => Err("must be prefill, decode or mixed".to_owned()),
    }
}

fn parse_standin_kind(text: &str) -> Result<StandinKind, String> {
    match text {
        "engine" => Ok(StandinKind::Engine),
        "service" => Ok(StandinKind::Service),
        "platform" => Ok(StandinKind::Platform),
        _ => Err("must be engine, service or platform".to_owned()),
    }
}
