//! Terminal output, confirmation prompts, and reading of files named on the command line.

use std::fmt::Display;
use std::io::{self, Write};
use std::path::Path;

use crate::error::Error;

/// Prints a line on standard output. A closed standard output, as with `| head`, is not an error.
pub fn print(line: impl Display) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Prints a line on standard error.
pub fn print_stderr(line: impl Display) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Prints the consequence of a command and asks the operator to confirm it. If `yes` is set,
/// the operator is not asked.
///
/// # Errors
/// Returns an error if the operator does not confirm or the answer cannot be read.
pub fn confirm(consequence: &str, yes: bool) -> Result<(), Error> {
    print(consequence);
    if yes {
        return Ok(());
    }
    let mut stderr = io::stderr();
    write!(stderr, "Continue? [y/N] ")?;
    stderr.flush()?;
    let mut answer = String::new();
    io::stdin().read_line(&mut answer)?;
    match answer.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(Error::Declined),
    }
}

/// Reads a file that is named on the command line.
///
/// # Errors
/// Returns a usage error if the file cannot be read.
pub fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path)
        .map_err(|error| Error::Usage(format!("cannot read {}: {error}", path.display())))
}
