//! Memory for bodies that an instance holds, whose sum is limited.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of a permit.
const UNIT_BYTES: usize = 1_024;
/// Size up to which bodies do not count, in bytes. Nearly all answers that are not streams are smaller.
const UNCOUNTED_BYTES: usize = 16 * 1_024;
/// Steps in which the memory for a body without a stated length grows, in bytes.
const STEP_BYTES: usize = 64 * 1_024;
/// Memory for all bodies of an instance unless its settings state more or less, in bytes.
pub const DEFAULT_BYTES: usize = 32 * 1_024 * 1_024;

/// The memory for all bodies of an instance.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    units: Arc<Semaphore>,
    limit_units: u32,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::new(DEFAULT_BYTES)
    }
}

impl BodyMemory {
    /// Creates a limit on the sum of all bodies.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            units: Arc::new(Semaphore::new(units(limit_bytes) as usize)),
            limit_units: units(limit_bytes),
        }
    }

    /// Waits until there is memory for a body of a known size. A body that is larger than the limit waits for all of it.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let mut reservation = self.reservation();
        if bytes > UNCOUNTED_BYTES {
            let units = units(bytes).min(self.limit_units);
            // The semaphore is never closed.
            reservation.permit = self.units.clone().acquire_many_owned(units).await.ok();
        }
        reservation
    }

    /// Returns a reservation that grows with a body of unknown size.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            permit: None,
        }
    }
}

fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}

/// Memory that is reserved for a body, and free again once the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: BodyMemory,
    permit: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Extends the reservation to a number of bytes. Returns whether there is memory for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self
            .permit
            .as_ref()
            .map_or(0, |permit| permit.num_permits());
        if bytes <= UNCOUNTED_BYTES || bytes <= reserved * UNIT_BYTES {
            return true;
        }
        let missing = bytes.next_multiple_of(STEP_BYTES) - reserved * UNIT_BYTES;
        let Ok(more) = self
            .memory
            .units
            .clone()
            .try_acquire_many_owned(units(missing))
        else {
            return false;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            permit @ None => *permit = Some(more),
        }
        true
    }

    /// Takes what is reserved; the reservation is then empty.
    pub fn take(&mut self) -> Self {
        Self {
            memory: self.memory.clone(),
            permit: self.permit.take(),
        }
    }

    /// Returns bytes that keep the reservation as long as any part of them is held.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        match self.permit {
            Some(permit) => Bytes::from_owner(HeldBytes {
                bytes,
                _permit: permit,
            }),
            None => bytes,
        }
    }
}

struct HeldBytes {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
