//! The desk: settings, keys, and calls of entry boxes.

use {
    crate::error::Error,
    awc::{Client, Connector},
    gingerpier_daemon::{
        operator_api::{self, StatementRequest, StatementResponse},
        run,
    },
    gingerpier_link::Credentials,
    gingerpier_settings::{Operator, Settings},
    std::{net::SocketAddr, path::Path, sync::Arc, time::Duration},
};

/// Time for an answer, beside the time that an operator asks to wait.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time for a connection to be made.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);
/// The longest answer.
const LONGEST_ANSWER: usize = 64 << 20;

/// An operator's way to a deployment.
pub struct Desk {
    entries: Vec<SocketAddr>,
    http: Client,
}

impl Desk {
    /// Desk of a settings file.
    ///
    /// # Errors
    ///
    /// Where the settings or the keys are wrong.
    pub fn open(settings: &Path) -> Result<Self, Error> {
        match run::read_settings(settings)? {
            Settings::Operator(operator) => Self::of(&operator),
            Settings::Entry(_)
            | Settings::Backend(_)
            | Settings::Gateway(_)
            | Settings::Loader(_) => Err(Error::Role(settings.to_owned())),
        }
    }

    /// Desk of settings.
    ///
    /// # Errors
    ///
    /// Where the keys are wrong.
    pub fn of(operator: &Operator) -> Result<Self, Error> {
        let tls = Credentials::read(&operator.keys)?.operator_client()?;
        let connector = Connector::new()
            .timeout(CONNECT_PATIENCE)
            .handshake_timeout(CONNECT_PATIENCE)
            .rustls_0_23(Arc::new(tls));
        let http = Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        Ok(Self {
            entries: operator.entries.clone(),
            http,
        })
    }

    /// Asks one entry box after another until one answers.
    ///
    /// The request's identity is the same at each, so that it is carried out once.
    ///
    /// # Errors
    ///
    /// Where none answers.
    pub async fn ask(&self, asked: &StatementRequest) -> Result<StatementResponse, Error> {
        let mut last = "the settings name none".to_owned();
        for entry in &self.entries {
            match self.ask_one(*entry, asked).await {
                Ok(answered) => return Ok(answered),
                Err(what) => last = format!("{entry}: {what}"),
            }
        }
        Err(Error::NoEntry(last))
    }

    async fn ask_one(
        &self,
        entry: SocketAddr,
        asked: &StatementRequest,
    ) -> Result<StatementResponse, String> {
        let url = format!("https://{entry}{}", operator_api::PATH);
        let patience = PATIENCE + Duration::from_millis(asked.wait_millis);
        let sent = self.http.post(url).timeout(patience).send_json(asked).await;
        let mut answer = sent.map_err(|what| what.to_string())?;
        let body = answer
            .body()
            .limit(LONGEST_ANSWER)
            .await
            .map_err(|what| what.to_string())?;
        if !answer.status().is_success() {
            return Err(String::from_utf8_lossy(&body).trim().to_owned());
        }
        serde_json::from_slice(&body).map_err(|what| what.to_string())
    }
}

/// A request with a new identity.
pub fn request(text: &str, wait_millis: u64) -> StatementRequest {
    StatementRequest {
        identity: new_identity(),
        text: text.to_owned(),
        wait_millis,
    }
}

/// A new identity, which an operator can give again.
pub fn new_identity() -> String {
    format!("{:032x}", fastrand::u128(..))
}
