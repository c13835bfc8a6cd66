//! Stand-ins as processes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use super::{Result, port};

/// Kinds of stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Language-model engine.
    Engine,
    /// Plain service.
    Service,
    /// The platform's interfaces.
    Platform,
}

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            "platform" => Ok(Self::Platform),
            other => Err(format!("no stand-in of kind {other}")),
        }
    }
}

impl Kind {
    /// Name of the subcommand that runs it.
    pub fn subcommand(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Platform => "platform",
        }
    }

    /// Path that answers once the stand-in runs.
    pub fn probe_path(self) -> &'static str {
        match self {
            Self::Engine | Self::Service => "/load",
            Self::Platform => "/instances",
        }
    }
}

/// One stand-in and where it listens.
pub struct StandinSpec {
    /// What it stands for.
    pub kind: Kind,
    /// Its listener.
    pub address: SocketAddr,
    /// Its settings.
    pub settings_file: PathBuf,
}

impl StandinSpec {
    /// Writes the settings of a stand-in. `values` are keys and TOML values.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the file cannot be written.
    pub fn create(
        folder: &Path,
        name: &str,
        kind: Kind,
        values: &[(String, String)],
    ) -> Result<Self> {
        let address = port::free_address()?;
        let mut text = format!("listen = \"{address}\"\n");
        if kind == Kind::Service {
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

    /// URL of a path.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}
