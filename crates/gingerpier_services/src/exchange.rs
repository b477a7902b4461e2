//! HTTP client for callers' requests, which detects truncated responses.
//!
//! The client of [`crate::http`] treats a chunked response as complete if its connection is lost.
//! This client returns an error instead, distinguishes requests that were never sent from those
//! that may have run, and never retries.

use {
    crate::error::Fault,
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client as Inner, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{error::Error as _, time::Duration},
};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest valid status (RFC 9110, section 15); hyper rejects those below 100.
const MAX_STATUS: u16 = 599;

/// HTTP client; clones share one connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Inner<HttpConnector, Full<Bytes>>,
}

/// Response whose head has arrived.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Inner::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { inner }
    }
}

/// Classifies an error by whether the request may have run.
fn classify(error: &Error) -> Fault {
    let inner = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>());
    // A cancelled request was never written to its connection.
    if error.is_connect() || inner.is_some_and(hyper::Error::is_canceled) {
        return Fault::Unreachable;
    }
    Fault::Unanswered(inner.map_or_else(|| error.to_string(), hyper::Error::to_string))
}

impl Client {
    /// Sends a request and waits for the response head for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives; the fault tells whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Fault> {
        match actix_rt::time::timeout(timeout, self.inner.request(request)).await {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                if head.status.as_u16() > MAX_STATUS {
                    let what = format!("status {} is invalid", head.status.as_u16());
                    return Err(Fault::Unreadable(what));
                }
                Ok(Answer {
                    status: head.status,
                    headers: head.headers,
                    body,
                })
            }
            Ok(Err(error)) => Err(classify(&error)),
            Err(_) => Err(Fault::Unanswered("no answer in time".to_owned())),
        }
    }
}

impl Answer {
    /// Value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Next part of the body; none at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost before the end of the body.
    pub async fn part(&mut self) -> Result<Option<Bytes>, Fault> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Fault::Unanswered(error.to_string()))?;
            // Trailers are ignored.
            if let Ok(part) = frame.into_data() {
                return Ok(Some(part));
            }
        }
        Ok(None)
    }
}
