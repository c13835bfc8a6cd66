//! Runs the scripts in `tests/scripts`, which run the binary against a stub of the administration listener with
//! scripted answers.

mod stub;

use std::error::Error;
use std::path::PathBuf;
use std::process::{Command as Process, Stdio};

use conf::admin::{ApplyRequest, RevisionInfo};
use stub::Stub;
use tempfile::TempDir;

const SERVICE: &str = include_str!("../../conf/tests/data/service.toml");
const SETTINGS: &str = include_str!("../../conf/tests/data/settings.toml");

#[test]
fn scripts() -> Result<(), Box<dyn Error>> {
    for entry in std::fs::read_dir("tests/scripts")? {
        goldenscript::run(&mut Runner::new()?, entry?.path())?;
    }
    Ok(())
}

struct Runner {
    temp_dir: TempDir,
    stub: Stub,
}

#[derive(goldenscript::Command)]
enum Command {
    /// Replaces the content of the folder by a valid service configuration.
    Service,
    /// Replaces the content of the folder by valid settings.
    Settings,
    /// Writes a file in the folder.
    File(String, String),
    /// Removes all scripted answers and recorded requests.
    Clear,
    /// Adds an answer, with a status and a body, to a request that is given as `METHOD PATH`.
    Answer(String, u16, String),
    /// Closes the connection of a request without an answer after the request was read.
    Disconnect(String),
    /// Adds an answer to a request that describes the folder as a revision.
    Revision(String, u64, String),
    /// Prints and removes the recorded requests.
    Requests,
    /// Runs the binary with arguments that are separated by spaces.
    Run(String),
    /// Runs the binary and prints only the output lines that contain a word, the errors and the exit code.
    Lines(String, String),
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        match command {
            Command::Service => self.reset_folder(SERVICE)?,
            Command::Settings => self.reset_folder(SETTINGS)?,
            Command::File(name, text) => std::fs::write(self.folder().join(name), text)?,
            Command::Clear => self.stub.clear(),
            Command::Answer(request, status, body) => {
                self.stub.add_answer(request, Some((*status, body.clone())));
            }
            Command::Disconnect(request) => self.stub.add_answer(request, None),
            Command::Revision(request, revision, author) => {
                let info = self.revision(*revision, author)?;
                let body = serde_json::to_string(&info)?;
                self.stub.add_answer(request, Some((200, body)));
            }
            Command::Requests => return Ok(self.requests()),
            Command::Run(arguments) => return self.run_binary(arguments, ""),
            Command::Lines(word, arguments) => return self.run_binary(arguments, word),
        }
        Ok(String::new())
    }
}

impl Runner {
    fn new() -> Result<Self, Box<dyn Error>> {
        let temp_dir = TempDir::new()?;
        std::fs::create_dir(temp_dir.path().join("folder"))?;
        std::fs::write(temp_dir.path().join("token"), "token\n")?;
        std::fs::write(temp_dir.path().join("empty"), "\n")?;
        let stub = Stub::start();
        Ok(Self { temp_dir, stub })
    }

    fn folder(&self) -> PathBuf {
        self.temp_dir.path().join("folder")
    }

    fn reset_folder(&self, text: &str) -> Result<(), Box<dyn Error>> {
        std::fs::remove_dir_all(self.folder())?;
        std::fs::create_dir(self.folder())?;
        std::fs::write(self.folder().join("00.toml"), text)?;
        Ok(())
    }

    fn revision(&self, revision: u64, author: &str) -> Result<RevisionInfo, Box<dyn Error>> {
        let loaded = conf::load::service(self.folder())?;
        Ok(RevisionInfo {
            revision,
            content_id: loaded.value.content_id(),
            author: conf::Name::new(author),
            at_ms: 1_700_000_000_000,
            files: loaded.files,
            canonical: loaded.value.canonical_text().into(),
        })
    }

    fn run_binary(&self, arguments: &str, word: &str) -> Result<String, Box<dyn Error>> {
        let admin = self.stub.address.to_string();
        let temp_dir = self.temp_dir.path().to_string_lossy().into_owned();
        let arguments = arguments
            .replace("LOGIN", "--admin ADMIN --token-file TOKEN")
            .replace("ADMIN", &admin)
            .replace("TOKEN", &format!("{temp_dir}/token"))
            .replace("EMPTY", &format!("{temp_dir}/empty"))
            .replace("FOLDER", &format!("{temp_dir}/folder"));
        let output = Process::new(env!("CARGO_BIN_EXE_mustardstack"))
            .args(arguments.split_whitespace())
            .env("USER", "tester")
            .stdin(Stdio::null())
            .output()?;
        let status = output.status.code().ok_or("no exit code")?;
        let stdout = String::from_utf8(output.stdout)?;
        let stderr = String::from_utf8(output.stderr)?;
        let stdout = stdout.lines().filter(|line| line.contains(word));
        let stdout = stdout.collect::<Vec<_>>().join("\n");
        let text = format!(
            "{}{}exit {status}",
            prefix_lines(&stdout, ""),
            prefix_lines(&stderr, "stderr: ")
        );
        Ok(text.replace(&admin, "ADMIN").replace(&temp_dir, "TMP"))
    }

    fn requests(&self) -> String {
        let requests = self.stub.take_requests().into_iter();
        requests
            .map(|(request, body)| format!("{request} {}\n", summarize_body(&body)))
            .collect()
    }
}

fn prefix_lines(text: &str, prefix: &str) -> String {
    text.lines()
        .map(|line| format!("{prefix}{line}\n"))
        .collect()
}

/// Returns the body of a request. The body of an apply request is summarized without its long texts, after a check that
/// its files, its canonical text and its content id agree.
fn summarize_body(body: &str) -> String {
    let Ok(request) = serde_json::from_str::<ApplyRequest>(body) else {
        return body.to_owned();
    };
    let files = conf::load::service_from_files(request.files).unwrap();
    assert_eq!(files.value.canonical_text(), request.canonical.as_str());
    assert_eq!(files.value.content_id(), request.content_id);
    format!(
        "base {} content {} by {}",
        request.base_revision,
        &request.content_id[..8],
        request.author
    )
}
