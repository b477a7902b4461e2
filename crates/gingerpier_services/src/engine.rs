//! Client of model engines and plain services on a backend server.

use {
    crate::{
        error::{Error, Fault, Step},
        exchange::{self, Answer},
        http::CallContext,
    },
    awc::Client as Http,
    bytes::Bytes,
    gingerpier_base::Instant,
    http::{Method, Request, header},
    http_body_util::Full,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Header with the identifier of an attempt.
pub const ATTEMPT_HEADER: &str = "gingerpier-attempt";
/// Header with the digest of the manifest that serves the request.
pub const WEIGHTS_HEADER: &str = "gingerpier-weights";
/// Header with the digest of the adapter that serves the request.
pub const ADAPTER_HEADER: &str = "gingerpier-adapter";
/// Header with the priority of a request.
pub const PRIORITY_HEADER: &str = "gingerpier-priority";
/// Header with the number of events that the caller has already received.
pub const RESUME_HEADER: &str = "gingerpier-resume-after";

/// Status reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// Digest of the loaded manifest, computed by the engine.
    pub weights: Option<String>,
    /// Digests of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Highest fence of an accepted order.
    pub fence: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fence; an engine that checks fences refuses one lower than the highest it has accepted.
    pub fence: u64,
    /// Action.
    #[serde(flatten)]
    pub what: What,
}

/// Action of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum What {
    /// Prepare for a version: unload all others and reserve memory for its manifest.
    Prepare {
        /// Digest of the manifest.
        weights: String,
        /// Manifest as hexadecimal text.
        manifest: String,
        /// Digest of the base version of an adapter, which stays loaded.
        base: Option<String>,
    },
    /// Serve a version, if all of its chunks have been received and match their digests.
    Activate {
        /// Digest of the manifest.
        weights: String,
    },
    /// Unload an adapter.
    DropAdapter {
        /// Digest of the adapter's manifest.
        weights: String,
    },
    /// Unload all weights.
    Clear,
}

/// A request for an engine or plain service.
#[derive(Debug, Clone)]
pub struct Run {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

/// Client of one engine or plain service.
#[derive(Clone)]
pub struct Client {
    http: Http,
    exchange: exchange::Client,
    url: String,
    timeout: Duration,
}

impl Client {
    /// Client of the engine at `url`; `timeout` applies to status calls and orders.
    pub const fn new(
        http: Http,
        exchange: exchange::Client,
        url: String,
        timeout: Duration,
    ) -> Self {
        Self {
            http,
            exchange,
            url,
            timeout,
        }
    }

    /// URL of the engine.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Fetches the status of the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not respond.
    pub async fn status(&self, now: Instant) -> Result<Status, Error> {
        let url = format!("{}/status", self.url);
        let call = CallContext {
            step: Step::AskEngine,
            url: &url,
            now,
            timeout: self.timeout,
        };
        let mut response = call.answer(self.http.get(&url).send()).await?;
        call.json(&mut response).await
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine refuses the order or does not respond.
    pub async fn order(&self, order: &Order, now: Instant) -> Result<(), Error> {
        let url = format!("{}/orders", self.url);
        let call = CallContext {
            step: Step::OrderEngine,
            url: &url,
            now,
            timeout: self.timeout,
        };
        let mut response = call.answer(self.http.post(&url).send_json(order)).await?;
        call.body(&mut response).await?;
        Ok(())
    }

    /// Sends a chunk of a version that the engine has been ordered to prepare for.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine refuses the chunk or does not respond.
    pub async fn give(
        &self,
        weights: &str,
        index: u32,
        fence: u64,
        chunk: Bytes,
        now: Instant,
    ) -> Result<(), Error> {
        let url = format!("{}/weights/{weights}/{index}?fence={fence}", self.url);
        let call = CallContext {
            step: Step::GiveWeights,
            url: &url,
            now,
            timeout: self.timeout,
        };
        let mut response = call.answer(self.http.put(&url).send_body(chunk)).await?;
        call.body(&mut response).await?;
        Ok(())
    }

    /// Sends a request and returns once the response head arrives; the caller reads the body.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives within `timeout`; [`Error::had_no_effect`] tells whether the
    /// request may have run.
    pub async fn run(&self, run: Run, timeout: Duration) -> Result<Answer, Error> {
        let url = format!("{}{}", self.url, run.path);
        let mut request = Request::builder().method(run.method).uri(&url);
        for (name, value) in run.headers {
            request = request.header(name, value);
        }
        if let Some(content_type) = run.content_type {
            request = request.header(header::CONTENT_TYPE, content_type);
        }
        let run_error = |fault| Error::new(Step::Run, &url, fault);
        let request = request.body(Full::new(run.body));
        let request = request.map_err(|error| run_error(Fault::Refused(error.to_string())))?;
        self.exchange
            .send(request, timeout)
            .await
            .map_err(run_error)
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not respond.
    pub async fn cancel(&self, attempt: &str, now: Instant) -> Result<(), Error> {
        let url = format!("{}/attempts/{attempt}", self.url);
        let call = CallContext {
            step: Step::Run,
            url: &url,
            now,
            timeout: self.timeout,
        };
        call.answer(self.http.delete(&url).send()).await.map(|_| ())
    }
}
