//! The founders of the log, which a replica remembers from its first start.

use std::path::Path;

use crate::error::Error;
use crate::files::{self, Folder};

const FILE_NAME: &str = "founders";

/// Returns the recorded instances. A file that cannot be read as a whole counts as none: the replica then takes no part in
/// forming the log, which is safe.
pub(crate) fn load(folder: &Path) -> Result<Vec<String>, Error> {
    let content = files::read(&folder.join(FILE_NAME))?;
    Ok(content
        .and_then(|content| decode(&content))
        .unwrap_or_default())
}

/// Records the instances and makes the record durable.
pub(crate) fn save(folder: &Folder, instances: &[String]) -> Result<(), Error> {
    folder.replace(FILE_NAME, encode(instances).as_bytes())
}

/// Returns one line for each instance and a last one with a checksum.
fn encode(instances: &[String]) -> String {
    let lines: String = instances
        .iter()
        .map(|instance| format!("{instance}\n"))
        .collect();
    let checksum = crc32fast::hash(lines.as_bytes());
    format!("{lines}{checksum:08x}\n")
}

fn decode(content: &[u8]) -> Option<Vec<String>> {
    let text = std::str::from_utf8(content).ok()?;
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    lines.pop()?;
    (encode(&lines) == text).then_some(lines)
}
