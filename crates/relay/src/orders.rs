//! Orders to engines.

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

/// Time allowed for each of the two calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads an engine's state and orders it to change its role. The order holds only for the state that was read, so that
/// one that is carried out late does not undo a newer one.
///
/// # Errors
/// Returns why there is no answer; the order may be carried out later.
pub async fn give(
    pool: &Pool,
    dialect: &Rc<dyn Dialect>,
    holder: &Name,
    fence: u64,
    order: &RoleOrder,
) -> Result<OrderOutcome, String> {
    let report = Request::get(dialect.report_path()).body(Full::new(Bytes::new()));
    let report = report.map_err(|error| error.to_string())?;
    let (status, body) = pool.exchange(&order.address, report, CALL_TIMEOUT).await?;
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
    let body = dialect.order(order.role, holder, fence, report.sequence);
    let request = Request::post(dialect.order_path())
        .header(CONTENT_TYPE, "application/json")
        .header(
            &dialect.headers().expected_instance,
            order.upstream.as_str(),
        )
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let (status, _) = pool.exchange(&order.address, request, CALL_TIMEOUT).await?;
    Ok(match status {
        StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        status if status.is_success() => OrderOutcome::Accepted,
        _ => OrderOutcome::Refused,
    })
}
