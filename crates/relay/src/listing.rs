//! Reading the platform's list of upstreams.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conf::Name;
use fleet::UpstreamRecord;
use http::Request;
use http_body_util::Full;

use crate::dialect::Dialect;
use crate::pool::Pool;

/// Timeout of the call for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of pages of the list, so that a list without an end is detected.
const MAX_PAGES: usize = 200;

/// Longest part of a reason in the log, in characters.
const MAX_REASON_CHARS: usize = 160;

/// A list that has been read.
pub struct ReadList {
    pub upstreams: Vec<UpstreamRecord>,
    /// What cannot be read of it, as the fields of a log line.
    pub unreadable: Option<String>,
}

/// Reads all pages of the list.
///
/// # Errors
/// Returns the reason if the list cannot be read in full.
pub async fn read(
    pool: &Pool,
    address: &Name,
    dialect: &Rc<dyn Dialect>,
) -> Result<ReadList, String> {
    let mut upstreams = Vec::new();
    let mut unreadable = Unreadable::default();
    let mut page_token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let path = dialect.listing_path(page_token.as_deref());
        let body = get_page(pool, address, &path).await?;
        let page = dialect.listing(&body)?;
        unreadable.count += page.unreadable.len();
        unreadable.first = unreadable.first.or(page.unreadable.into_iter().next());
        upstreams.extend(page.upstreams);
        match page.next {
            Some(next) => page_token = Some(next),
            None => return unreadable.check(upstreams),
        }
    }
    Err(format!("the list has more than {MAX_PAGES} pages"))
}

/// The records of a list that cannot be decoded.
#[derive(Default)]
struct Unreadable {
    count: usize,
    /// Reason for the first one.
    first: Option<String>,
}

impl Unreadable {
    /// Returns the list of the readable records.
    ///
    /// # Errors
    /// Fails if there are only unreadable ones: an empty list would be taken for the loss of all upstreams.
    fn check(self, upstreams: Vec<UpstreamRecord>) -> Result<ReadList, String> {
        let count = self.count;
        metrics::gauge!("mustardstack_list_unreadable").set(count as f64);
        if upstreams.is_empty() && count > 0 {
            return Err(format!("none of {count} records can be read"));
        }
        let unreadable = self.first.map(|first| {
            let reason: String = first.chars().take(MAX_REASON_CHARS).collect();
            format!("list_entries=unreadable count={count} reason={reason:?} outcome=skipped")
        });
        Ok(ReadList {
            upstreams,
            unreadable,
        })
    }
}

async fn get_page(pool: &Pool, address: &Name, path: &str) -> Result<Bytes, String> {
    let request = Request::get(path).body(Full::new(Bytes::new()));
    let request = request.map_err(|error| error.to_string())?;
    let (status, body) = pool.call(address, request, PAGE_TIMEOUT).await?;
    match status.is_success() {
        true => Ok(body),
        false => Err(format!("the answer has status {status}")),
    }
}
