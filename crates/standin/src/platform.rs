//! Stand-in for the platform: the lagging list of instances and the rate-limited weight store.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use conf::Name;
use http::StatusCode;
use http_body::Frame;
use serde::{Deserialize, Serialize};
use volo_http::{
    body::Body,
    response::Response,
    server::{
        IntoResponse, Router,
        param::PathParams,
        route::{get, put},
    },
};

use crate::{
    Result, Running,
    server::{self, Refusal},
};

/// Size of one piece of a weight download, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// Settings of the stand-in platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// IP address and port. Port 0 takes a free one.
    pub listen: Name,
    /// Seed. The platform draws nothing at random now.
    pub seed: u64,
    /// Simulated milliseconds in a real one.
    pub time_scale: f64,
    /// Instances at the start.
    pub instances: Vec<Listed>,
    /// Time until a change of the list is shown.
    pub list_lag_ms: f64,
    /// Size of any model's weights.
    pub weights_bytes: usize,
    /// Downloads that the weight store starts in a second.
    pub downloads_per_s: f64,
    /// Downloads that the weight store starts at once after a pause.
    pub download_burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: Name::from_static_str("127.0.0.1:0"),
            seed: 1,
            time_scale: 1.0,
            instances: Vec::new(),
            list_lag_ms: 1_000.0,
            weights_bytes: 1024 * 1024,
            downloads_per_s: 1.0,
            download_burst: 1.0,
        }
    }
}

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// It runs.
    #[default]
    Live,
    /// It will be stopped.
    Leaving,
    /// It has ended.
    Gone,
}

/// One instance of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Instance id.
    pub id: Name,
    /// State of the instance.
    pub state: Presence,
}

/// Reply of `GET /instances` and body of `PUT /debug/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances.
    pub instances: Vec<Listed>,
}

#[derive(Debug)]
struct State {
    shown: Vec<Listed>,
    changes: VecDeque<(f64, Vec<Listed>)>,
    download_credit: f64,
    credited_at_ms: f64,
}

#[derive(Debug)]
struct Platform {
    settings: Settings,
    started: Instant,
    state: Mutex<State>,
}

/// Starts the platform's interfaces inside this process.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
pub fn start(settings: Settings) -> Result<Running> {
    let listen = settings.listen.clone();
    server::start(&listen, move |_| router(Arc::new(Platform::new(settings))))
}

/// Runs the platform's interfaces until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
pub async fn serve(settings: Settings) -> Result<()> {
    server::run(start(settings)?).await
}

fn router(platform: Arc<Platform>) -> Router {
    let [list, change, weights] = std::array::from_fn(|_| platform.clone());
    Router::new()
        .route("/instances", get(move || async move { list.list() }))
        .route(
            "/debug/instances",
            put(move |body: Bytes| async move { change.change(&body) }),
        )
        .route(
            "/weights/{model}/{version}",
            get(move |_: PathParams<(String, String)>| async move { weights.download() }),
        )
}

impl Platform {
    fn new(settings: Settings) -> Self {
        let state = State {
            shown: settings.instances.clone(),
            changes: VecDeque::new(),
            download_credit: settings.download_burst,
            credited_at_ms: 0.0,
        };
        Self {
            settings,
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0 * self.settings.time_scale
    }

    fn list(&self) -> Response {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.show_until(now_ms);
        let list = InstanceList {
            instances: state.shown.clone(),
        };
        server::json_reply(StatusCode::OK, &list)
    }

    fn change(&self, body: &Bytes) -> Response {
        let list: InstanceList = match serde_json::from_slice(body) {
            Ok(list) => list,
            Err(error) => return Refusal::bad_request(&error).into_response(),
        };
        let shown_at_ms = self.now_ms() + self.settings.list_lag_ms;
        self.lock().changes.push_back((shown_at_ms, list.instances));
        server::json_reply(StatusCode::OK, &serde_json::json!({}))
    }

    fn download(&self) -> Response {
        let now_ms = self.now_ms();
        if !self.lock().take_download(&self.settings, now_ms) {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Refusal::new(status, "too many downloads").into_response();
        }
        let mut left = self.settings.weights_bytes;
        let pieces = std::iter::from_fn(move || {
            let piece = left.min(PIECE_BYTES);
            left -= piece;
            (piece > 0).then(|| Ok(Frame::data(Bytes::from(vec![0; piece]))))
        });
        Response::new(Body::from_stream(futures::stream::iter(pieces)))
    }
}

impl State {
    fn show_until(&mut self, now_ms: f64) {
        while let Some((shown_at_ms, _)) = self.changes.front()
            && *shown_at_ms <= now_ms
            && let Some((_, list)) = self.changes.pop_front()
        {
            self.shown = list;
        }
    }

    fn take_download(&mut self, settings: &Settings, now_ms: f64) -> bool {
        let earned = (now_ms - self.credited_at_ms) / 1_000.0 * settings.downloads_per_s;
        self.credited_at_ms = now_ms;
        self.download_credit = (self.download_credit + earned).min(settings.download_burst);
        let granted = self.download_credit >= 1.0;
        if granted {
            self.download_credit -= 1.0;
        }
        granted
    }
}
