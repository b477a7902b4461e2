//! One HTTP client for all edges: deadlines, connection reuse, faults told apart.

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

/// Time for a connection to be made.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// Connections kept to one host.
const CONNECTIONS: usize = 1_024;
/// Time for which an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// Milliseconds to stay away where a busy service does not say how long.
const DEFAULT_BUSY_MILLIS: u64 = 1_000;
/// The longest answer that is read whole.
const LONGEST_ANSWER: usize = 64 << 20;

/// A client for one process; connections to all hosts are shared.
pub fn client() -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_PATIENCE)
        .limit(CONNECTIONS)
        .conn_keep_alive(KEEP_ALIVE);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// One call of a service, for its errors.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Step that the call is part of.
    pub step: Step,
    /// URL called.
    pub url: &'a str,
    /// Time of the call.
    pub now: Instant,
    /// Time for the answer's head, and again for each part of its body.
    pub patience: Duration,
}

impl Call<'_> {
    /// Error of this call.
    pub fn error(&self, fault: Fault) -> Error {
        Error::new(self.step, self.url, fault)
    }

    /// Waits for the answer's head; refusals become errors.
    ///
    /// # Errors
    ///
    /// Where there is no answer, or it is not one of success.
    pub async fn answer<F>(&self, sending: F) -> Result<ClientResponse, Error>
    where
        F: Future<Output = Result<ClientResponse, SendRequestError>>,
    {
        let mut answer = self.any_answer(sending).await?;
        let status = answer.status();
        if status.is_success() {
            return Ok(answer);
        }
        if matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        ) {
            return Err(self.error(Fault::Busy(self.busy_until(&answer))));
        }
        if status == StatusCode::NOT_FOUND {
            return Err(self.error(Fault::Missing));
        }
        let said = self.body(&mut answer).await.unwrap_or_default();
        let said = String::from_utf8_lossy(&said);
        Err(self.error(Fault::Refused(format!("{status}: {}", said.trim()))))
    }

    /// Waits for the answer's head, whatever its status.
    ///
    /// # Errors
    ///
    /// Where there is no answer.
    pub async fn any_answer<F>(&self, sending: F) -> Result<ClientResponse, Error>
    where
        F: Future<Output = Result<ClientResponse, SendRequestError>>,
    {
        match timeout(self.patience, sending).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(SendRequestError::Connect(_))) => Err(self.error(Fault::Unreachable)),
            Ok(Err(error)) => Err(self.error(Fault::Unanswered(error.to_string()))),
            Err(_) => Err(self.error(Fault::Unanswered("no answer in time".to_owned()))),
        }
    }

    /// Next part of the body; none at its end.
    ///
    /// # Errors
    ///
    /// Where the body breaks off or stalls.
    pub async fn part(&self, answer: &mut ClientResponse) -> Result<Option<Bytes>, Error> {
        match timeout(self.patience, answer.next()).await {
            Ok(None) => Ok(None),
            Ok(Some(Ok(part))) => Ok(Some(part)),
            Ok(Some(Err(error))) => Err(self.error(Fault::Unanswered(error.to_string()))),
            Err(_) => Err(self.error(Fault::Unanswered("the answer stalled".to_owned()))),
        }
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// Where the body breaks off, stalls, or is too long.
    pub async fn body(&self, answer: &mut ClientResponse) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(part) = self.part(answer).await? {
            if body.len() + part.len() > LONGEST_ANSWER {
                return Err(self.error(Fault::Unreadable("it is too long".to_owned())));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }

    /// The whole body as JSON.
    ///
    /// # Errors
    ///
    /// Where the body can't be had, or is something else.
    pub async fn json<T: DeserializeOwned>(&self, answer: &mut ClientResponse) -> Result<T, Error> {
        let body = self.body(answer).await?;
        serde_json::from_slice(&body)
            .map_err(|error| self.error(Fault::Unreadable(error.to_string())))
    }

    fn busy_until(&self, answer: &ClientResponse) -> Instant {
        let named = answer.headers().get(header::RETRY_AFTER);
        let seconds = named.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
        let millis = seconds.map_or(DEFAULT_BUSY_MILLIS, |seconds| (seconds * 1e3) as u64);
        self.now.after_millis(millis)
    }
}
