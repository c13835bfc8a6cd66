//! `experiment`: compares policies by experiments with processes of this binary on loopback.

use crate::cli::Experiment;
use crate::error::Error;
use crate::terminal;

/// Runs the experiment that a settings file describes and prints or writes its table.
pub fn run(options: &Experiment) -> Result<(), Error> {
    let settings: bench::Settings = terminal::read_file(&options.settings)?.parse()?;
    let preset = settings.preset()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let print_run = |run: &bench::Run| {
        let (case, policy) = (run.case.name(), run.policy.name());
        terminal::print(format!("{case} {policy}: {}", run.report));
    };
    let runs = runtime.block_on(bench::run(&settings, print_run))?;
    let table = bench::Table::new(&settings, &preset, &runs).to_string();
    match &options.out {
        Some(file) => std::fs::write(file, table)?,
        None => terminal::print(table),
    }
    Ok(())
}
