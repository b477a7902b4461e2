//! HTTP client that acts as the program of a client account.

use {
    crate::error::Error,
    bytes::Bytes,
    gingerpier_services::exchange::Client,
    http::{Method, Request},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of the response head, and of each part of the body.
const READ_TIMEOUT: Duration = Duration::from_secs(70);

/// Client of one entry box.
#[derive(Clone)]
pub struct Caller {
    http: Client,
    /// Address of the entry box for callers.
    pub entry: SocketAddr,
    token: String,
}

/// Response as received by the caller.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header `gingerpier-outcome`, if present.
    pub outcome: Option<String>,
    /// Header `gingerpier-version`, if present.
    pub version: Option<String>,
    /// Header `gingerpier-retry-after-millis`, if present.
    pub retry_after_millis: Option<u64>,
    /// Body, or the part received before an interruption.
    pub body: String,
    /// True if the body is complete.
    pub is_complete: bool,
}

impl Response {
    /// Token texts of an event stream, and whether its last event is `[DONE]`.
    pub fn tokens(&self) -> (Vec<String>, bool) {
        let events = self
            .body
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "));
        let mut tokens = Vec::new();
        let mut done = false;
        for event in events {
            done = event == "[DONE]";
            if let Ok(token) = serde_json::from_str::<serde_json::Value>(event) {
                tokens.push(token["text"].as_str().unwrap_or_default().to_owned());
            }
        }
        (tokens, done)
    }
}

/// HTTP request to an entry box.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl RequestSpec {
    /// Completion request for a model; `tokens` is the maximum number of tokens.
    pub fn model(model: &str, prompt: &str, tokens: u64) -> Self {
        let body = serde_json::json!({
            "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        Self::new(
            Method::POST,
            "/v1/completions",
            body.to_string().into_bytes(),
        )
    }

    /// Request to any path.
    pub fn new(method: Method, path: &str, body: Vec<u8>) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Marks the request as not repeatable, with a ticket as its idempotency key.
    #[must_use]
    pub fn once(self, ticket: &str) -> Self {
        self.header("gingerpier-repeatable", "no")
            .header("idempotency-key", ticket)
    }
}

impl Caller {
    /// Client of `entry` with a client account's bearer token.
    pub fn new(entry: SocketAddr, token: &str) -> Self {
        Self {
            http: Client::default(),
            entry,
            token: token.to_owned(),
        }
    }

    /// Client of another entry box with the same account.
    #[must_use]
    pub fn at(&self, entry: SocketAddr) -> Self {
        Self {
            entry,
            ..self.clone()
        }
    }

    /// Sends a request and reads the response to its end or to an interruption.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives.
    pub async fn send(&self, request: RequestSpec) -> Result<Response, Error> {
        let url = format!("http://{}{}", self.entry, request.path);
        let call_error = |cause: String| Error::new("calling", &url, cause);
        let mut builder = Request::builder()
            .method(request.method)
            .uri(&url)
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in &request.headers {
            builder = builder.header(name, value);
        }
        if !request.body.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        let built = builder.body(Full::new(Bytes::from(request.body)));
        let built = built.map_err(|cause| call_error(cause.to_string()))?;
        let sent = self.http.send(built, READ_TIMEOUT).await;
        let mut incoming = sent.map_err(|cause| call_error(cause.to_string()))?;
        let header = |name: &str| incoming.header(name).map(str::to_owned);
        let mut received = Response {
            status: incoming.status.as_u16(),
            outcome: header("gingerpier-outcome"),
            version: header("gingerpier-version"),
            retry_after_millis: header("gingerpier-retry-after-millis")
                .and_then(|text| text.parse().ok()),
            ..Response::default()
        };
        let mut body = Vec::new();
        loop {
            match actix_rt::time::timeout(READ_TIMEOUT, incoming.part()).await {
                Ok(Ok(Some(part))) => body.extend_from_slice(&part),
                Ok(Ok(None)) => {
                    received.is_complete = true;
                    break;
                }
                Ok(Err(_)) | Err(_) => break,
            }
        }
        received.body = String::from_utf8_lossy(&body).into_owned();
        Ok(received)
    }

    /// Requests a ticket.
    ///
    /// # Errors
    ///
    /// Returns an error if the response contains no ticket.
    pub async fn ticket(&self) -> Result<String, Error> {
        let response = self
            .send(RequestSpec::new(Method::POST, "/v1/tickets", Vec::new()))
            .await?;
        let parsed: serde_json::Value = serde_json::from_str(&response.body)
            .map_err(|cause| Error::new("reading a ticket", self.entry, cause))?;
        let ticket = parsed["tickets"][0].as_str().map(str::to_owned);
        ticket.ok_or_else(|| Error::new("reading a ticket", self.entry, response.body))
    }
}
