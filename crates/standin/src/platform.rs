//! Stand-in for the platform, with a list of instances that shows changes late and a rate-limited weight store.

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
    Result, RunningStandin,
    server::{self, Refusal},
};

/// Size of one frame of a weight download, in bytes.
const FRAME_BYTES: usize = 64 * 1024;

/// Settings of the stand-in platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// IP address and port to listen on. Port 0 selects a free port.
    pub listen: Name,
    /// Seed of random numbers. The platform currently uses none.
    pub seed: u64,
    /// Number of simulated milliseconds per real millisecond.
    pub time_scale: f64,
    /// Instances on the list at the start.
    pub instances: Vec<ListedInstance>,
    /// Time until a change of the list becomes visible, in simulated milliseconds.
    pub list_lag_ms: f64,
    /// Size of the weights of each model, in bytes.
    pub weights_bytes: usize,
    /// Rate at which the weight store allows downloads to start, per simulated second.
    pub downloads_per_s: f64,
    /// Maximum number of downloads that the weight store allows to start at once after a time without downloads.
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

/// State of an instance according to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance runs.
    #[default]
    Live,
    /// The platform will stop the instance.
    Leaving,
    /// The instance has ended.
    Gone,
}

/// One instance on the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Instance id.
    pub id: Name,
    /// State of the instance.
    pub state: ListedState,
}

/// Response to `GET /instances` and body of `PUT /debug/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances on the list.
    pub instances: Vec<ListedInstance>,
}

#[derive(Debug)]
struct State {
    visible: Vec<ListedInstance>,
    changes: VecDeque<(f64, Vec<ListedInstance>)>,
    download_credit: f64,
    credit_updated_ms: f64,
}

#[derive(Debug)]
struct Platform {
    settings: Settings,
    started: Instant,
    state: Mutex<State>,
}

/// Starts a stand-in platform inside this process.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
pub fn start(settings: Settings) -> Result<RunningStandin> {
    let listen = settings.listen.clone();
    server::start(&listen, move |_| router(Arc::new(Platform::new(settings))))
}

/// Runs a stand-in platform until SIGINT or SIGTERM.
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
            put(move |body: Bytes| async move { change.replace_list(&body) }),
        )
        .route(
            "/weights/{model}/{version}",
            get(move |_: PathParams<(String, String)>| async move { weights.download() }),
        )
}

impl Platform {
    fn new(settings: Settings) -> Self {
        let state = State {
            visible: settings.instances.clone(),
            changes: VecDeque::new(),
            download_credit: settings.download_burst,
            credit_updated_ms: 0.0,
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
        state.apply_due_changes(now_ms);
        let list = InstanceList {
            instances: state.visible.clone(),
        };
        server::json_response(StatusCode::OK, &list)
    }

    fn replace_list(&self, body: &Bytes) -> Response {
        let list: InstanceList = match serde_json::from_slice(body) {
            Ok(list) => list,
            Err(error) => return Refusal::bad_request(&error).into_response(),
        };
        let visible_at_ms = self.now_ms() + self.settings.list_lag_ms;
        self.lock()
            .changes
            .push_back((visible_at_ms, list.instances));
        server::json_response(StatusCode::OK, &serde_json::json!({}))
    }

    fn download(&self) -> Response {
        let now_ms = self.now_ms();
        if !self.lock().take_download(&self.settings, now_ms) {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Refusal::new(status, "too many downloads").into_response();
        }
        let mut remaining_bytes = self.settings.weights_bytes;
        let frames = std::iter::from_fn(move || {
            let frame_bytes = remaining_bytes.min(FRAME_BYTES);
            remaining_bytes -= frame_bytes;
            (frame_bytes > 0).then(|| Ok(Frame::data(Bytes::from(vec![0; frame_bytes]))))
        });
        Response::new(Body::from_stream(futures::stream::iter(frames)))
    }
}

impl State {
    fn apply_due_changes(&mut self, now_ms: f64) {
        while let Some((visible_at_ms, _)) = self.changes.front()
            && *visible_at_ms <= now_ms
            && let Some((_, list)) = self.changes.pop_front()
        {
            self.visible = list;
        }
    }

    fn take_download(&mut self, settings: &Settings, now_ms: f64) -> bool {
        let new_credit = (now_ms - self.credit_updated_ms) / 1_000.0 * settings.downloads_per_s;
        self.credit_updated_ms = now_ms;
        self.download_credit = (self.download_credit + new_credit).min(settings.download_burst);
        let is_allowed = self.download_credit >= 1.0;
        if is_allowed {
            self.download_credit -= 1.0;
        }
        is_allowed
    }
}
