//! The `mustardstack` command and its subcommands.
#![forbid(unsafe_code)]

mod apply;
mod change;
mod check;
mod cli;
mod client;
mod demo;
mod error;
mod experiment;
mod join;
mod load;
mod serve;
mod standin;
mod status;
mod terminal;

use std::process::ExitCode;

use cli::{Command, Options};
use error::Error;

fn main() -> ExitCode {
    let options = match cli::parse(std::env::args()) {
        Ok(options) => options,
        Err(exit) => return exit,
    };
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            terminal::print_stderr(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(options: &Options) -> Result<(), Error> {
    match &options.command {
        Command::Serve(serve) => serve::run(serve),
        Command::Join(_) => join::run(),
        Command::Check(check) => check::run(check),
        Command::Apply(apply) => block_on(apply::apply(apply)),
        Command::Status(status) => block_on(status::status(status)),
        Command::History(history) => block_on(status::history(history)),
        Command::ReturnTo(return_to) => block_on(apply::return_to(return_to)),
        Command::Drain(drain) => block_on(change::drain(drain)),
        Command::Undrain(undrain) => block_on(change::undrain(undrain)),
        Command::Order(order) => block_on(change::order(order)),
        Command::ConfirmDead(confirm) => block_on(change::confirm_dead(confirm)),
        Command::ReplaceVoter(replace) => block_on(change::replace_voter(replace)),
        Command::Demo(_) => demo::run(),
        Command::Load(load) => load::run(load),
        Command::Experiment(experiment) => experiment::run(experiment),
        Command::Standin(standin) => standin::run(standin),
    }
}

fn block_on(command: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(command)
}
