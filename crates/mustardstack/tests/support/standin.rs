//! Settings and addresses of stand-ins that run as processes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use super::{Result, port};

/// Kind of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinKind {
    /// Language-model engine.
    Engine,
    /// Plain service.
    Service,
    /// Interfaces of the platform.
    Platform,
}

impl std::str::FromStr for StandinKind {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            "platform" => Ok(Self::Platform),
            other => Err(format!("there is no stand-in of kind {other}")),
        }
    }
}

impl StandinKind {
    /// Returns the argument of the `standin` subcommand that runs this kind.
    pub fn subcommand(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Platform => "platform",
        }
    }

    /// Returns a path that the stand-in answers once it is running.
    pub fn probe_path(self) -> &'static str {
        match self {
            Self::Engine | Self::Service => "/load",
            Self::Platform => "/instances",
        }
    }
}

/// Kind, address and settings file of a stand-in.
pub struct StandinSpec {
    /// Kind of the stand-in.
    pub kind: StandinKind,
    /// Address of the listener.
    pub address: SocketAddr,
    /// Path of the settings file.
    pub settings_file: PathBuf,
}

impl StandinSpec {
    /// Writes the settings file of a stand-in with a free port. `values` are keys and TOML values.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the file cannot be written.
    pub fn create(
        folder: &Path,
        name: &str,
        kind: StandinKind,
        values: &[(String, String)],
    ) -> Result<Self> {
        let address = port::free_address()?;
        let mut text = format!("listen = \"{address}\"\n");
        if kind == StandinKind::Service {
            let journal = folder.join(format!("{name}.journal"));
            text += &format!(
                "name = \"{name}\"\njournal_file = \"{}\"\n",
                journal.display()
            );
        }
        for (key, value) in values {
            text += &format!("{key} = {value}\n");
        }
        let settings_file = folder.join(format!("{name}.toml"));
        fs::write(&settings_file, text)?;
        Ok(Self {
            kind,
            address,
            settings_file,
        })
    }

    /// Returns the URL of a path.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}
