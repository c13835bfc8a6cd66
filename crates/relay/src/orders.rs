//! Orders to engines to change their roles.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conf::Name;
use gateway::control::OrderOutcome;
use gateway::stages::RoleOrder;
use http::header::CONTENT_TYPE;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::pool::Pool;

/// Timeout of each of the two calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends orders in the name of the leader.
pub struct OrderSender<'a> {
    /// Connections to engines.
    pub pool: &'a Pool,
    /// Wire format of the platform.
    pub dialect: &'a Rc<dyn Dialect>,
    /// Clock that counts the time for which this process is suspended.
    pub clock: Clock,
    /// Instance id of the leader.
    pub holder: &'a Name,
}

impl OrderSender<'_> {
    /// Reads an engine's state and orders the engine to change its role. The order is valid only for the state that was
    /// read, so that an order that is carried out late does not undo a newer order. Nothing is sent after
    /// `valid_until_ms`, for example by a process that was suspended after it had read the state.
    ///
    /// # Errors
    /// Returns the reason if the engine does not answer, and may still carry out the order, or if it is too late.
    pub async fn send(
        &self,
        fencing_token: u64,
        order: &RoleOrder,
        valid_until_ms: u64,
    ) -> Result<OrderOutcome, String> {
        let report = Request::get(self.dialect.report_path()).body(Full::new(Bytes::new()));
        let report = report.map_err(|error| error.to_string())?;
        let (status, body) = self.pool.call(&order.address, report, CALL_TIMEOUT).await?;
        if !status.is_success() {
            return Ok(OrderOutcome::Refused);
        }
        let report = self.dialect.report(&body)?;
        if report.is_changing {
            return Ok(OrderOutcome::Refused);
        }
        if report.role == order.role {
            return Ok(OrderOutcome::Accepted);
        }
        let body = self
            .dialect
            .order(order.role, self.holder, fencing_token, report.sequence);
        let request = Request::post(self.dialect.order_path())
            .header(CONTENT_TYPE, "application/json")
            .header(
                &self.dialect.header_names().expected_instance,
                order.upstream.as_str(),
            )
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        let is_valid = || self.clock.now_ms() <= valid_until_ms;
        let (status, _) = self
            .pool
            .call_if(&order.address, request, CALL_TIMEOUT, is_valid)
            .await?;
        Ok(match status {
            StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
            status if status.is_success() => OrderOutcome::Accepted,
            _ => OrderOutcome::Refused,
        })
    }
}
