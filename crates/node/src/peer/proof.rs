//! Proof that both ends of a connection know the shared secret.
//!
//! Each proof is an HMAC that covers the nonces of both ends, so that a recorded proof is invalid on another
//! connection. The side is part of the proof, so that a proof is invalid if it is sent back to the end that created it.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::error::Error;

/// Length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// A random number that is used once.
pub type Nonce = [u8; NONCE_BYTES];

/// The secret shared by all instances.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// End of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Connecting,
    /// The end that accepted the connection.
    Accepting,
}

/// Ids and nonces of both ends of a connection, which a proof covers.
#[derive(Clone, Copy, Debug)]
pub struct Handshake<'a> {
    /// Instance id of the connecting end.
    pub connecting_id: &'a str,
    /// Instance id of the accepting end.
    pub accepting_id: &'a str,
    /// Nonce of the connecting end.
    pub connecting_nonce: &'a [u8],
    /// Nonce of the accepting end.
    pub accepting_nonce: &'a [u8],
}

impl Secret {
    /// Wraps the secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.to_vec())
    }

    /// Returns the proof of `side`.
    pub fn prove(&self, side: Side, handshake: &Handshake<'_>) -> Vec<u8> {
        self.mac(side, handshake).finalize().into_bytes().to_vec()
    }

    /// Returns whether `proof` is the proof of `side`. Takes the same time for every wrong proof.
    pub fn verify(&self, side: Side, handshake: &Handshake<'_>, proof: &[u8]) -> bool {
        self.mac(side, handshake).verify_slice(proof).is_ok()
    }

    fn mac(&self, side: Side, handshake: &Handshake<'_>) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0)
            .expect("HMAC accepts a key of any length");
        let side: &[u8] = match side {
            Side::Connecting => b"mustardstack connecting",
            Side::Accepting => b"mustardstack accepting",
        };
        let parts = [
            side,
            handshake.connecting_id.as_bytes(),
            handshake.accepting_id.as_bytes(),
            handshake.connecting_nonce,
            handshake.accepting_nonce,
        ];
        // The lengths make sure that different sequences of parts are not encoded as the same bytes.
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

/// Returns a new nonce.
///
/// # Errors
/// Fails if the operating system returns no random numbers.
pub fn nonce() -> Result<Nonce, Error> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).map_err(Error::Random)?;
    Ok(nonce)
}
