//! HTTP client of the administration interface.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::{HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::BodyConversion;
use volo_http::client::ClientBuilder;
use volo_http::response::Response;

use crate::error::Error;
use crate::terminal;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit of a request. A change waits for a majority, which may first have to elect a leader.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of characters of an unexpected body that an error message shows.
const MAX_SHOWN_BODY_CHARS: usize = 300;

/// Sends requests to the administration listener of one instance.
pub struct Client {
    address: SocketAddr,
    authorization: HeaderValue,
}

impl Client {
    /// Creates a client with the administration token of a file.
    pub fn new(address: SocketAddr, token_file: &Path) -> Result<Self, Error> {
        let token = terminal::read_file(token_file)?;
        let token = token.trim();
        let invalid_token =
            || Error::Usage(format!("{} contains no valid token", token_file.display()));
        if token.is_empty() {
            return Err(invalid_token());
        }
        let bearer = format!("Bearer {token}");
        let mut authorization = HeaderValue::from_str(&bearer).map_err(|_| invalid_token())?;
        authorization.set_sensitive(true);
        Ok(Self {
            address,
            authorization,
        })
    }

    /// Sends a GET request and parses the response body.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.send_and_parse(Method::GET, path, String::new()).await
    }

    /// Sends a POST request and parses the response body.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let body =
            serde_json::to_string(body).map_err(|error| Error::Refused(error.to_string()))?;
        self.send_and_parse(Method::POST, path, body).await
    }

    async fn send_and_parse<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<T, Error> {
        let exchange = self.send(method, path, body);
        let response = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        let (status, body) = response.map_err(|_| self.no_answer("timed out"))??;
        self.parse(status, &body)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<(StatusCode, Vec<u8>), Error> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder.build().map_err(|error| self.no_answer(error))?;
        let request = client
            .request(method, format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, self.authorization.clone())
            .header(header::CONTENT_TYPE, "application/json")
            .data(body);
        let response: Response = request
            .send()
            .await
            .map_err(|error| self.no_answer(error))?;
        let status = response.status();
        let body = response.into_vec().await;
        Ok((status, body.map_err(|error| self.no_answer(error))?))
    }

    /// Parses a response body as JSON, whatever the status is, because refusals also have a typed body.
    fn parse<T: DeserializeOwned>(&self, status: StatusCode, body: &[u8]) -> Result<T, Error> {
        let reason = match serde_json::from_slice(body) {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        let text: String = String::from_utf8_lossy(body)
            .chars()
            .take(MAX_SHOWN_BODY_CHARS)
            .collect();
        let address = self.address;
        Err(match status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                Error::Refused(format!("{address} does not accept the token"))
            }
            StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => {
                Error::Unavailable(format!("{address} answered {status}: {text}"))
            }
            _ if status.is_success() => {
                Error::Refused(format!("{address} sent an unexpected answer: {reason}"))
            }
            _ => Error::Refused(format!("{address} answered {status}: {text}")),
        })
    }

    fn no_answer(&self, reason: impl std::fmt::Display) -> Error {
        Error::Unavailable(format!("no answer from {}: {reason}", self.address))
    }
}
