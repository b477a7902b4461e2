//! HTTP exchanges whose answers' ends can be told.
//!
//! The HTTP client that serves the other edges takes a chunked answer whose connection broke for
//! a whole one. Callers' requests go through this client instead, which gives an error there, and
//! which also tells a request that was never sent from one that may have run. It never sends a
//! request again by itself.

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

/// Time for a connection to be made.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// A client; connections to all hosts are shared.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Inner<HttpConnector, Full<Bytes>>,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_PATIENCE));
        let inner = Inner::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(KEEP_ALIVE)
            .build(connector);
        Self { inner }
    }
}

/// What an error says of the request's fate.
fn fault(error: &Error) -> Fault {
    let inner = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>());
    // A cancelled request was never put on its connection.
    if error.is_connect() || inner.is_some_and(hyper::Error::is_canceled) {
        return Fault::Unreachable;
    }
    Fault::Unanswered(inner.map_or_else(|| error.to_string(), hyper::Error::to_string))
}

impl Client {
    /// Sends a request, and waits `patience` for the answer's head.
    ///
    /// # Errors
    ///
    /// Where there is no answer; the fault tells whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<Answer, Fault> {
        match actix_rt::time::timeout(patience, self.inner.request(request)).await {
            Ok(Ok(answer)) => {
                let (head, body) = answer.into_parts();
                Ok(Answer {
                    status: head.status,
                    headers: head.headers,
                    body,
                })
            }
            Ok(Err(error)) => Err(fault(&error)),
            Err(_) => Err(Fault::Unanswered("no answer in time".to_owned())),
        }
    }
}

impl Answer {
    /// Text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Next part of the body; none at its proper end.
    ///
    /// # Errors
    ///
    /// Where the body breaks off.
    pub async fn part(&mut self) -> Result<Option<Bytes>, Fault> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Fault::Unanswered(error.to_string()))?;
            // Trailers carry nothing of the body.
            if let Ok(part) = frame.into_data() {
                return Ok(Some(part));
            }
        }
        Ok(None)
    }
}
