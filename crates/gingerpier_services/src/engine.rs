//! Model engines and plain services on a backend server.

use {
    crate::{
        error::{Error, Fault, Step},
        exchange::{self, Answer},
        http::Call,
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
/// Header with the digest of the manifest that answers.
pub const WEIGHTS_HEADER: &str = "gingerpier-weights";
/// Header with the digest of the adapter that answers.
pub const ADAPTER_HEADER: &str = "gingerpier-adapter";
/// Header with the priority of a request.
pub const PRIORITY_HEADER: &str = "gingerpier-priority";
/// Header with the number of events that the caller has already.
pub const RESUME_HEADER: &str = "gingerpier-resume-after";

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// Digest of the manifest that it holds whole; it computes it itself.
    pub weights: Option<String>,
    /// Digests of adapters that it holds whole.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Highest fence of an order it took.
    pub fence: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub capacity: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fence; an engine that checks refuses a lower one than it has seen.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub what: What,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum What {
    /// Make room for a version, dropping all others: its manifest follows as hexadecimal text.
    Prepare {
        /// Digest of the manifest.
        weights: String,
        /// The manifest.
        manifest: String,
        /// Base version that an adapter goes on; the base is then kept.
        base: Option<String>,
    },
    /// Serve a version whose chunks were given, where they are all there and right.
    Activate {
        /// Digest of the manifest.
        weights: String,
    },
    /// Drop an adapter.
    DropAdapter {
        /// Digest of the adapter's manifest.
        weights: String,
    },
    /// Drop everything.
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
    /// Headers of this system.
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
    patience: Duration,
}

impl Client {
    /// Client of the engine at `url`; `patience` is for answers to orders and questions.
    pub const fn new(
        http: Http,
        exchange: exchange::Client,
        url: String,
        patience: Duration,
    ) -> Self {
        Self {
            http,
            exchange,
            url,
            patience,
        }
    }

    /// URL of the engine.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Asks for its status.
    ///
    /// # Errors
    ///
    /// Where it does not answer.
    pub async fn status(&self, now: Instant) -> Result<Status, Error> {
        let url = format!("{}/status", self.url);
        let call = Call {
            step: Step::AskEngine,
            url: &url,
            now,
            patience: self.patience,
        };
        let mut answer = call.answer(self.http.get(&url).send()).await?;
        call.json(&mut answer).await
    }

    /// Gives it an order.
    ///
    /// # Errors
    ///
    /// Where it refuses the order, or does not answer.
    pub async fn order(&self, order: &Order, now: Instant) -> Result<(), Error> {
        let url = format!("{}/orders", self.url);
        let call = Call {
            step: Step::OrderEngine,
            url: &url,
            now,
            patience: self.patience,
        };
        let mut answer = call.answer(self.http.post(&url).send_json(order)).await?;
        call.body(&mut answer).await?;
        Ok(())
    }

    /// Gives it a chunk of a version that it was ordered to prepare for.
    ///
    /// # Errors
    ///
    /// Where it does not take the chunk.
    pub async fn give(
        &self,
        weights: &str,
        index: u32,
        fence: u64,
        chunk: Bytes,
        now: Instant,
    ) -> Result<(), Error> {
        let url = format!("{}/weights/{weights}/{index}?fence={fence}", self.url);
        let call = Call {
            step: Step::GiveWeights,
            url: &url,
            now,
            patience: self.patience,
        };
        let mut answer = call.answer(self.http.put(&url).send_body(chunk)).await?;
        call.body(&mut answer).await?;
        Ok(())
    }

    /// Starts a request; its answer's body is read by the caller, part by part.
    ///
    /// # Errors
    ///
    /// Where no answer begins in `patience`; [`Error::had_no_effect`] tells whether it ran.
    pub async fn run(&self, run: Run, patience: Duration) -> Result<Answer, Error> {
        let url = format!("{}{}", self.url, run.path);
        let mut asked = Request::builder().method(run.method).uri(&url);
        for (name, value) in run.headers {
            asked = asked.header(name, value);
        }
        if let Some(content_type) = run.content_type {
            asked = asked.header(header::CONTENT_TYPE, content_type);
        }
        let wrong = |fault| Error::new(Step::Run, &url, fault);
        let asked = asked.body(Full::new(run.body));
        let asked = asked.map_err(|error| wrong(Fault::Refused(error.to_string())))?;
        self.exchange.send(asked, patience).await.map_err(wrong)
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Where the engine does not answer.
    pub async fn cancel(&self, attempt: &str, now: Instant) -> Result<(), Error> {
        let url = format!("{}/attempts/{attempt}", self.url);
        let call = Call {
            step: Step::Run,
            url: &url,
            now,
            patience: self.patience,
        };
        call.answer(self.http.delete(&url).send()).await.map(|_| ())
    }
}
