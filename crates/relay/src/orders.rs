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

use crate::dialect::Dialect;
use crate::pool::Pool;

/// Timeout of each of the two calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads an engine's state and orders the engine to change its role. The order is valid only for the state that was
/// read, so that an order that is carried out late does not undo a newer order.
///
/// # Errors
/// Returns the reason if the engine does not answer; the engine may still carry out the order.
pub async fn order_role(
    pool: &Pool,
    dialect: &Rc<dyn Dialect>,
    holder: &Name,
    fencing_token: u64,
    order: &RoleOrder,
) -> Result<OrderOutcome, String> {
    let report = Request::get(dialect.report_path()).body(Full::new(Bytes::new()));
    let report = report.map_err(|error| error.to_string())?;
    let (status, body) = pool.call(&order.address, report, CALL_TIMEOUT).await?;
    if !status.is_success() {
        return Ok(OrderOutcome::Refused);
    }
    let report = dialect.report(&body)?;
    if report.is_changing {
        return Ok(OrderOutcome::Refused);
    }
    if report.role == order.role {
        return Ok(OrderOutcome::Accepted);
    }
    let body = dialect.order(order.role, holder, fencing_token, report.sequence);
    let request = Request::post(dialect.order_path())
        .header(CONTENT_TYPE, "application/json")
        .header(
            &dialect.header_names().expected_instance,
            order.upstream.as_str(),
        )
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let (status, _) = pool.call(&order.address, request, CALL_TIMEOUT).await?;
    Ok(match status {
        StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        status if status.is_success() => OrderOutcome::Accepted,
        _ => OrderOutcome::Refused,
    })
}
