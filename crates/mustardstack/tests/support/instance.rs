//! Instances of a scenario, their settings folders and the relays between them.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use conf::{
    Name, Settings,
    settings::{Instance, Platform, Voter},
};
use tokio::runtime::Handle;

use super::{Result, port, relay::Relay};

/// Administration token of all instances.
pub const ADMIN_TOKEN: &str = "scenario-admin-token";

/// Peer secret of all instances.
const PEER_SECRET: &str = "scenario-peer-secret";

/// Addresses and properties of an instance.
pub struct InstanceSpec {
    /// Availability zone.
    pub availability_zone: String,
    /// Whether the instance has a data folder and is a voter.
    pub is_voter: bool,
    /// Address of the callers' listener.
    pub caller_address: SocketAddr,
    /// Address of the administration listener.
    pub admin_address: SocketAddr,
    /// Address of the peer listener.
    pub peer_address: SocketAddr,
}

/// All instances and the relays between them.
pub struct Cluster {
    folder: PathBuf,
    /// Instances by id.
    pub instances: BTreeMap<String, InstanceSpec>,
    relays: BTreeMap<(String, String), Relay>,
}

impl Cluster {
    /// Creates an empty cluster that keeps its files in `folder`.
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            instances: BTreeMap::new(),
            relays: BTreeMap::new(),
        }
    }

    /// Adds an instance with listeners on free ports.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn add(&mut self, id: &str, availability_zone: &str, is_voter: bool) -> Result<()> {
        let spec = InstanceSpec {
            availability_zone: availability_zone.to_owned(),
            is_voter,
            caller_address: port::free_address()?,
            admin_address: port::free_address()?,
            peer_address: port::free_address()?,
        };
        self.instances.insert(id.to_owned(), spec);
        Ok(())
    }

    /// Returns the instance `id`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such instance.
    pub fn get(&self, id: &str) -> Result<&InstanceSpec> {
        let missing = || format!("there is no instance {id}");
        Ok(self.instances.get(id).ok_or_else(missing)?)
    }

    /// Returns the settings folder of an instance.
    pub fn settings_folder(&self, id: &str) -> PathBuf {
        self.folder.join(id).join("settings")
    }

    /// Returns the data folder of an instance.
    pub fn data_folder(&self, id: &str) -> PathBuf {
        self.folder.join(id).join("data")
    }

    /// Returns the path of the file that holds the administration token.
    pub fn token_file(&self) -> PathBuf {
        self.folder.join("admin-token")
    }

    /// Writes the settings folder of an instance. The instance reaches each other voter through a relay.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or a relay cannot listen.
    pub fn write_settings(
        &mut self,
        runtime: &Handle,
        id: &str,
        platform: &Platform,
    ) -> Result<()> {
        let voters = self.voters_for(runtime, id)?;
        let settings = Settings {
            instance: self.instance_settings(id)?,
            voters,
            platform: platform.clone(),
            ..Settings::default()
        };
        fs::write(self.token_file(), ADMIN_TOKEN)?;
        fs::write(self.folder.join("peer-secret"), PEER_SECRET)?;
        let folder = self.settings_folder(id);
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("instance.toml"), toml::to_string(&settings)?)?;
        Ok(())
    }

    /// Blocks or unblocks the connections between two instances, whichever of the two opens them.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no relay between the instances.
    pub fn set_partitioned(&self, one: &str, other: &str, is_partitioned: bool) -> Result<()> {
        let is_between = |(from, to): &(String, String)| {
            (from == one && to == other) || (from == other && to == one)
        };
        let relays: Vec<&Relay> = self
            .relays
            .iter()
            .filter(|(ends, _)| is_between(ends))
            .map(|(_, relay)| relay)
            .collect();
        if relays.is_empty() {
            return Err(format!("there is no relay between {one} and {other}").into());
        }
        for relay in relays {
            match is_partitioned {
                true => relay.partition(),
                false => relay.heal(),
            }
        }
        Ok(())
    }

    fn instance_settings(&self, id: &str) -> Result<Instance> {
        let spec = self.get(id)?;
        let data_folder = match spec.is_voter {
            true => path_name(&self.data_folder(id)),
            false => Name::default(),
        };
        Ok(Instance {
            id: Name::from(id.to_owned()),
            availability_zone: Name::from(spec.availability_zone.clone()),
            caller_address: address_name(spec.caller_address),
            admin_address: address_name(spec.admin_address),
            peer_address: address_name(spec.peer_address),
            admin_token_file: path_name(&self.token_file()),
            peer_secret_file: path_name(&self.folder.join("peer-secret")),
            data_folder,
        })
    }

    fn voters_for(&mut self, runtime: &Handle, id: &str) -> Result<Vec<Voter>> {
        let mut voters = Vec::new();
        for (voter, spec) in self.instances.iter().filter(|(_, spec)| spec.is_voter) {
            let peer_address = match voter == id {
                true => spec.peer_address,
                false => {
                    let ends = (id.to_owned(), voter.clone());
                    if !self.relays.contains_key(&ends) {
                        let relay = Relay::start(runtime, spec.peer_address)?;
                        self.relays.insert(ends.clone(), relay);
                    }
                    self.relays[&ends].address()
                }
            };
            voters.push(Voter {
                id: Name::from(voter.clone()),
                availability_zone: Name::from(spec.availability_zone.clone()),
                peer_address: address_name(peer_address),
            });
        }
        Ok(voters)
    }
}

fn address_name(address: SocketAddr) -> Name {
    Name::from(address.to_string())
}

fn path_name(path: &Path) -> Name {
    Name::from(path.display().to_string())
}
