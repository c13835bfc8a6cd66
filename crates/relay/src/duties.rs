//! Calls to the platform that only the leader makes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conf::Name;
use gateway::{DutyCall, DutyOutcome};
use http::header::CONTENT_TYPE;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::pool::Pool;

/// Timeout of a call. The platform carries out most calls within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Makes calls in the name of the leader.
pub struct DutySender<'a> {
    /// Connections to the platform.
    pub pool: &'a Pool,
    /// Wire format of the platform.
    pub dialect: &'a Rc<dyn Dialect>,
    /// Clock that counts the time for which this process is suspended.
    pub clock: Clock,
    /// Address of the platform.
    pub address: &'a Name,
    /// Instance id of the leader.
    pub holder: &'a Name,
}

impl DutySender<'_> {
    /// Makes a call, unless `valid_until_ms` has passed when the connection is open, for example in a process that was
    /// suspended.
    ///
    /// # Errors
    /// Returns the reason if there is no answer. The platform may still carry out the call.
    pub async fn send(
        &self,
        fencing_token: u64,
        call: &DutyCall,
        valid_until_ms: u64,
    ) -> Result<DutyOutcome, String> {
        let names = self.dialect.header_names();
        let encoded = self.dialect.duty(call);
        let request = Request::post(encoded.path)
            .header(CONTENT_TYPE, "application/json")
            .header(&names.holder, self.holder.as_str())
            .header(&names.fencing_token, fencing_token)
            .body(Full::new(Bytes::from(encoded.body)))
            .map_err(|error| error.to_string())?;
        let is_valid = || self.clock.now_ms() <= valid_until_ms;
        let (status, _) = self
            .pool
            .call_if(self.address, request, CALL_TIMEOUT, is_valid)
            .await?;
        match (status, call) {
            (status, _) if status.is_success() => Ok(DutyOutcome::Accepted),
            (StatusCode::CONFLICT, DutyCall::ReportUsage { .. }) => Ok(DutyOutcome::Fenced),
            // The platform answers an old token in the same way, which a leader with a valid lease does not have.
            (StatusCode::CONFLICT, DutyCall::OrderUpstreams { .. }) => {
                Ok(DutyOutcome::NoneAvailable)
            }
            (StatusCode::TOO_MANY_REQUESTS, _) => Ok(DutyOutcome::Limited),
            (status, _) => Err(format!("the platform answered {status}")),
        }
    }
}
