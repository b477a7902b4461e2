//! HTTP client for the platform's services, with timeouts, connection reuse and typed errors.

use {
    crate::error::{Error, Fault, Step},
    actix_rt::time::timeout,
    awc::{
        Client, ClientResponse, Connector,
        error::SendRequestError,
        http::{StatusCode, header},
    },
    bytes::{Bytes, BytesMut},
    futures_util::StreamExt,
    gingerpier_base::Instant,
    serde::de::DeserializeOwned,
    std::time::Duration,
};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 1_024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Backoff for a busy service that sends no `Retry-After` header.
const DEFAULT_BACKOFF_MILLIS: u64 = 1_000;
/// Maximum size of a buffered response body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Creates an HTTP client; its clones share one connection pool.
pub fn client() -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .limit(MAX_CONNECTIONS)
        .conn_keep_alive(IDLE_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Context of one call to a service, for timeouts and errors.
#[derive(Debug, Clone, Copy)]
pub struct CallContext<'a> {
    /// Operation that the call is part of.
    pub step: Step,
    /// URL of the request.
    pub url: &'a str,
    /// Time at which the call starts.
    pub now: Instant,
    /// Timeout of the response head, and of each part of the body.
    pub timeout: Duration,
}

impl CallContext<'_> {
    /// Creates an error of this call.
    pub fn error(&self, fault: Fault) -> Error {
        Error::new(self.step, self.url, fault)
    }

    /// Waits for the response head; a status other than success is an error.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives or its status is not success.
    pub async fn answer<F>(&self, sending: F) -> Result<ClientResponse, Error>
    where
        F: Future<Output = Result<ClientResponse, SendRequestError>>,
    {
        let mut response = self.any_response(sending).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        if matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        ) {
            return Err(self.error(Fault::Busy(self.busy_until(&response))));
        }
        if status == StatusCode::NOT_FOUND {
            return Err(self.error(Fault::Missing));
        }
        let message = self.body(&mut response).await.unwrap_or_default();
        let message = String::from_utf8_lossy(&message);
        Err(self.error(Fault::Refused(format!("{status}: {}", message.trim()))))
    }

    /// Waits for the response head with any status.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn any_response<F>(&self, sending: F) -> Result<ClientResponse, Error>
    where
        F: Future<Output = Result<ClientResponse, SendRequestError>>,
    {
        match timeout(self.timeout, sending).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(SendRequestError::Connect(_))) => Err(self.error(Fault::Unreachable)),
            Ok(Err(error)) => Err(self.error(Fault::Unanswered(error.to_string()))),
            Err(_) => Err(self.error(Fault::Unanswered("no answer in time".to_owned()))),
        }
    }

    /// Next part of the body; none at the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost or no data arrives within the timeout.
    pub async fn part(&self, response: &mut ClientResponse) -> Result<Option<Bytes>, Error> {
        match timeout(self.timeout, response.next()).await {
            Ok(None) => Ok(None),
            Ok(Some(Ok(part))) => Ok(Some(part)),
            Ok(Some(Err(error))) => Err(self.error(Fault::Unanswered(error.to_string()))),
            Err(_) => Err(self.error(Fault::Unanswered("the answer stalled".to_owned()))),
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost, the body stalls, or it is too long.
    pub async fn body(&self, response: &mut ClientResponse) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(part) = self.part(response).await? {
            if body.len() + part.len() > MAX_BODY_BYTES {
                return Err(self.error(Fault::Unreadable("it is too long".to_owned())));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }

    /// Reads the complete body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the body cannot be read or decoded.
    pub async fn json<T: DeserializeOwned>(
        &self,
        response: &mut ClientResponse,
    ) -> Result<T, Error> {
        let body = self.body(response).await?;
        serde_json::from_slice(&body)
            .map_err(|error| self.error(Fault::Unreadable(error.to_string())))
    }

    fn busy_until(&self, response: &ClientResponse) -> Instant {
        let retry_after = response.headers().get(header::RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
        let millis = seconds.map_or(DEFAULT_BACKOFF_MILLIS, |seconds| (seconds * 1e3) as u64);
        self.now.after_millis(millis)
    }
}
