//! A caller, as a client account's program would be one.

use {
    crate::error::Error,
    bytes::Bytes,
    gingerpier_services::exchange::Client,
    http::{Method, Request},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// Time for an answer's head, and for each of its parts.
const PATIENCE: Duration = Duration::from_secs(70);

/// A caller of one entry box.
#[derive(Clone)]
pub struct Caller {
    http: Client,
    /// Address of the entry box for callers.
    pub entry: SocketAddr,
    token: String,
}

/// An answer as the caller got it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `gingerpier-outcome`, where there is one.
    pub outcome: Option<String>,
    /// `gingerpier-version`, where there is one.
    pub version: Option<String>,
    /// `gingerpier-retry-after-millis`, where there is one.
    pub come_back_millis: Option<u64>,
    /// Body, as far as it came.
    pub body: String,
    /// True where the body came to its end.
    pub whole: bool,
}

impl Answer {
    /// Texts of the tokens of an event stream, and whether its last event says that it is done.
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

/// A call.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Call {
    /// Call of a model.
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

    /// Call of any path.
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

    /// Says that the request may run at most once, under a ticket.
    #[must_use]
    pub fn once(self, ticket: &str) -> Self {
        self.header("gingerpier-repeatable", "no")
            .header("idempotency-key", ticket)
    }
}

impl Caller {
    /// Caller of `entry`, with a client account's token.
    pub fn new(entry: SocketAddr, token: &str) -> Self {
        Self {
            http: Client::default(),
            entry,
            token: token.to_owned(),
        }
    }

    /// The same caller at another entry box.
    #[must_use]
    pub fn at(&self, entry: SocketAddr) -> Self {
        Self {
            entry,
            ..self.clone()
        }
    }

    /// Makes a call, and reads the answer to its end or to where it broke off.
    ///
    /// # Errors
    ///
    /// Where there was no answer at all.
    pub async fn call(&self, call: Call) -> Result<Answer, Error> {
        let url = format!("http://{}{}", self.entry, call.path);
        let wrong = |what: String| Error::new("calling", &url, what);
        let mut request = Request::builder()
            .method(call.method)
            .uri(&url)
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        if !call.body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        let request = request.body(Full::new(Bytes::from(call.body)));
        let request = request.map_err(|what| wrong(what.to_string()))?;
        let sent = self.http.send(request, PATIENCE).await;
        let mut answer = sent.map_err(|what| wrong(what.to_string()))?;
        let header = |name: &str| answer.header(name).map(str::to_owned);
        let mut got = Answer {
            status: answer.status.as_u16(),
            outcome: header("gingerpier-outcome"),
            version: header("gingerpier-version"),
            come_back_millis: header("gingerpier-retry-after-millis")
                .and_then(|text| text.parse().ok()),
            ..Answer::default()
        };
        let mut body = Vec::new();
        loop {
            match actix_rt::time::timeout(PATIENCE, answer.part()).await {
                Ok(Ok(Some(part))) => body.extend_from_slice(&part),
                Ok(Ok(None)) => {
                    got.whole = true;
                    break;
                }
                Ok(Err(_)) | Err(_) => break,
            }
        }
        got.body = String::from_utf8_lossy(&body).into_owned();
        Ok(got)
    }

    /// Gets a ticket.
    ///
    /// # Errors
    ///
    /// Where none is given.
    pub async fn ticket(&self) -> Result<String, Error> {
        let answer = self
            .call(Call::new(Method::POST, "/v1/tickets", Vec::new()))
            .await?;
        let read: serde_json::Value = serde_json::from_str(&answer.body)
            .map_err(|what| Error::new("reading a ticket", self.entry, what))?;
        let ticket = read["tickets"][0].as_str().map(str::to_owned);
        ticket.ok_or_else(|| Error::new("reading a ticket", self.entry, answer.body))
    }
}
