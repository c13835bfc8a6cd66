//! Commands of the scenario language.

use super::standin::StandinKind;

/// Command of a scenario.
#[derive(Debug, goldenscript::Command)]
pub enum Command {
    /// Starts a stand-in. Settings are TOML values. Example: standin engine e1 role="\"decode\""
    Standin {
        kind: StandinKind,
        name: String,
        #[arg(key, many, optional)]
        settings: Vec<(String, String)>,
    },

    /// Defines voters by id and availability zone, before the first start. Example: voters a=z1 b=z2 c=z3
    Voters(Vec<(String, String)>),

    /// Defines instances without a disk by id and availability zone. Example: entries d=z1 e=z2
    Entries(Vec<(String, String)>),

    /// Starts instances, or restarts stand-ins that have ended.
    Start(Vec<String>),

    /// Stops processes with SIGTERM, waits until they have ended and prints their exit statuses.
    Stop(Vec<String>),

    /// Sends SIGTERM to processes and does not wait until they have ended.
    Terminate(Vec<String>),

    /// Kills processes with SIGKILL.
    Kill(Vec<String>),

    /// Pauses processes with SIGSTOP.
    Pause(Vec<String>),

    /// Resumes paused processes with SIGCONT.
    Resume(Vec<String>),

    /// Stops processes with SIGTERM and starts them again.
    Restart(Vec<String>),

    /// Deletes the data folders of instances that are not running.
    Wipe(Vec<String>),

    /// Blocks the peer connections between the first instance and each other named instance.
    Partition(Vec<String>),

    /// Unblocks the peer connections between the first instance and each other named instance.
    Heal(Vec<String>),

    /// Applies a configuration template. The base is the current revision if none is given.
    Apply {
        template: String,
        #[arg(key)]
        through: String,
        #[arg(key)]
        base: Option<u64>,
    },

    /// Applies two templates with the same base at the same time and prints the sorted outcomes.
    Race {
        first: String,
        second: String,
        #[arg(key)]
        through: String,
        #[arg(key)]
        other: String,
    },

    /// Applies a template, kills the leader while the request is in flight and starts the leader again.
    ApplyAndKillLeader {
        template: String,
        #[arg(key)]
        through: String,
    },

    /// Applies two templates alternately, `count` times in total, and prints the last outcome.
    ApplyMany {
        first: String,
        second: String,
        #[arg(key)]
        through: String,
        #[arg(key)]
        count: u64,
    },

    /// Drains an instance.
    DrainInstance { through: String, instance: String },

    /// Ends the draining of an instance.
    UndrainInstance { through: String, instance: String },

    /// Applies a configuration template with the `apply` subcommand and prints its exit status.
    CliApply {
        template: String,
        #[arg(key)]
        through: String,
    },

    /// Waits until a condition holds for each name: `ready`, `not_ready`, `in_force` (the newest revision that any
    /// named instance knows is in force), `exit` (the process has ended), `idle` (no open exchanges), `voters` (the
    /// status of the instance shows all voters, no learner and no lost replica), `changed` (an engine has carried out
    /// an order), `received` (an engine has accepted an order), `executed` (a plain service has run a call),
    /// `granted` (every running instance knows a holder of the engine's order gate), `undrained` (no running instance
    /// drains the upstream), `drained` (every running instance drains the upstream, and the upstream has no requests
    /// left).
    Wait {
        condition: String,
        #[arg(pos, many)]
        names: Vec<String>,
    },

    /// Sends a prompt to a model and prints whether the complete and expected answer arrived.
    Chat {
        through: String,
        prompt: String,
        #[arg(key, optional)]
        stream: bool,
        #[arg(key)]
        tokens: Option<u32>,
        #[arg(key)]
        tenant: Option<String>,
        #[arg(key)]
        rank: Option<String>,
        #[arg(key)]
        model: Option<String>,
    },

    /// Calls a plain service and prints the status, and the number of executions or the `run` field of the answer.
    Call {
        through: String,
        method: String,
        path: String,
        body: Option<String>,
        #[arg(key)]
        key: Option<String>,
        #[arg(key)]
        tenant: Option<String>,
        /// Whether the call is sent again while it is refused as not run, as the `Retry-After` header requests.
        #[arg(key, optional)]
        retry: bool,
        /// Whether the scenario continues without waiting for the answer. The answer is not printed.
        #[arg(key, optional)]
        background: bool,
    },

    /// Starts background callers that send prompts to a model through those named instances that are ready.
    Load {
        #[arg(pos, many)]
        through: Vec<String>,
        #[arg(key)]
        callers: usize,
        #[arg(key)]
        tokens: u32,
        #[arg(key)]
        tenant: Option<String>,
    },

    /// Waits until the callers have received this many more complete answers.
    Answers(usize),

    /// Stops the callers after their current requests and prints a summary.
    Summary,

    /// Makes stand-ins crash through their debug interface.
    Crash(Vec<String>),

    /// Prints the number of executions of each call on plain services, summed over the services.
    Executions(Vec<String>),

    /// Prints the orders that an engine received and their outcomes, without the sequence numbers.
    Orders(String),

    /// Prints whether requests have ended on engines since the previous `requests` command.
    Requests(Vec<String>),

    /// Orders an engine to change its role, or to load or unload a model or adapter.
    Order {
        through: String,
        upstream: String,
        #[arg(key, many)]
        change: Vec<(String, String)>,
    },

    /// Drains an upstream. Example: drain a engine-1
    Drain { through: String, upstream: String },

    /// Ends the draining of an upstream.
    Undrain { through: String, upstream: String },

    /// Sets the platform's list. Example: list p a=live b=leaving
    List {
        platform: String,
        #[arg(key, many)]
        instances: Vec<(String, String)>,
    },

    /// Prints the value at a JSON pointer in the status of an instance.
    Status { instance: String, pointer: String },
}
