//! Commands of the scenario language.

use super::standin::Kind;

/// A scenario command.
#[derive(Debug, goldenscript::Command)]
pub enum Command {
    /// Starts a stand-in. Settings are TOML values. Example: standin engine e1 role="\"decode\""
    Standin {
        kind: Kind,
        name: String,
        #[arg(key, many, optional)]
        settings: Vec<(String, String)>,
    },

    /// Defines voters by id and zone, before the first start. Example: voters a=z1 b=z2 c=z3
    Voters(Vec<(String, String)>),

    /// Defines instances without a disk by id and zone. Example: entries d=z1 e=z2
    Entries(Vec<(String, String)>),

    /// Starts instances or ended stand-ins.
    Start(Vec<String>),

    /// Stops processes with SIGTERM and waits for their ends.
    Stop(Vec<String>),

    /// Sends SIGTERM and does not wait.
    Terminate(Vec<String>),

    /// Kills processes with SIGKILL.
    Kill(Vec<String>),

    /// Pauses processes with SIGSTOP.
    Freeze(Vec<String>),

    /// Lets paused processes go on with SIGCONT.
    Thaw(Vec<String>),

    /// Stops processes with SIGTERM and starts them again.
    Restart(Vec<String>),

    /// Deletes the data folders of instances that do not run.
    Wipe(Vec<String>),

    /// Cuts the peer connections between the first instance and each other one.
    Cut(Vec<String>),

    /// Heals the peer connections between the first instance and each other one.
    Heal(Vec<String>),

    /// Applies a configuration template. The base is the current revision if none is given.
    Apply {
        template: String,
        #[arg(key)]
        through: String,
        #[arg(key)]
        base: Option<u64>,
    },

    /// Applies two templates against one base at the same time and prints the sorted outcomes.
    Race {
        first: String,
        second: String,
        #[arg(key)]
        through: String,
        #[arg(key)]
        other: String,
    },

    /// Applies a template, kills the leader while the change is on its way and starts it again.
    ApplyAndKillLeader {
        template: String,
        #[arg(key)]
        through: String,
    },

    /// Applies two templates in turn, `count` times in all, and prints the last outcome.
    ApplyMany {
        first: String,
        second: String,
        #[arg(key)]
        through: String,
        #[arg(key)]
        count: u64,
    },

    /// Sets the drain mark of an instance.
    DrainInstance { through: String, instance: String },

    /// Removes the drain mark of an instance.
    UndrainInstance { through: String, instance: String },

    /// Applies a configuration template with the `apply` subcommand and prints how it exits.
    CliApply {
        template: String,
        #[arg(key)]
        through: String,
    },

    /// Waits until a condition holds for each name: `ready`, `not_ready`, `in_force` (the newest
    /// revision that any named instance knows), `exit`, `idle` (no open exchanges), `voters` (all
    /// voters, no learner and no lost replica), `changed` (an engine has carried out an order),
    /// `received` (an engine has accepted an order), `executed` (a plain service has run a call),
    /// `undrained` (no running instance drains the upstream),
    /// `drained` (every running instance drains the upstream, which has no work left).
    Wait {
        condition: String,
        #[arg(pos, many)]
        names: Vec<String>,
    },

    /// Asks a model and prints whether the whole answer to this prompt came.
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

    /// Calls a plain service and prints the status, the run field and the executions in the reply.
    Call {
        through: String,
        method: String,
        path: String,
        body: Option<String>,
        #[arg(key)]
        key: Option<String>,
        #[arg(key)]
        tenant: Option<String>,
        /// Whether the call is repeated while it is refused as not run, as `Retry-After` asks.
        #[arg(key, optional)]
        retry: bool,
        /// Whether the scenario goes on without waiting for the answer, which is not printed.
        #[arg(key, optional)]
        background: bool,
    },

    /// Starts callers that ask models through the ready ones of the named instances.
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

    /// Waits until the callers have had this many more answers.
    Answers(usize),

    /// Ends the callers after their current request and prints a summary.
    Summary,

    /// Crashes stand-ins on command.
    Crash(Vec<String>),

    /// Prints how often each call ran on plain services, summed over the services.
    Executions(Vec<String>),

    /// Prints the orders that an engine received, without their numbers.
    Orders(String),

    /// Prints whether engines have ended requests since the last look.
    Requests(Vec<String>),

    /// Orders an engine to change its role, or to load or unload a model.
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

    /// Prints a value of an instance's status by JSON pointer.
    Status { instance: String, pointer: String },
}
