//! Output to and questions on the terminal, and the files that the command line names.

use std::fmt::Display;
use std::io::{self, Write};
use std::path::Path;

use crate::error::Error;

/// Prints a line. A closed standard output, as after `| head`, is no failure.
pub fn print(line: impl Display) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Prints a line on standard error.
pub fn complain(line: impl Display) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Says what will happen and asks for consent, unless it was given on the command line.
///
/// # Errors
/// Returns an error if the answer is not yes or cannot be read.
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

/// Reads a file that the command line names.
///
/// # Errors
/// Returns a usage error if the file cannot be read.
pub fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path)
        .map_err(|error| Error::Usage(format!("cannot read {}: {error}", path.display())))
}
