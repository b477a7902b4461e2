//! The platform's list of live and leaving boxes, which lags.

use {
    crate::{error::Error, error::Step, http::Call},
    awc::Client as Http,
    gingerpier_base::{Instant, Name},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Listed {
    /// Its boxes.
    pub boxes: Vec<Entry>,
}

/// One box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: Name,
    /// Role of its process: `entry` or `backend`.
    pub role: String,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address of its process for other processes.
    pub address: String,
    /// True once it is to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the list at `url`.
///
/// # Errors
///
/// Where the list can't be had.
pub async fn read(
    http: &Http,
    url: &str,
    patience: Duration,
    now: Instant,
) -> Result<Listed, Error> {
    let call = Call {
        step: Step::ReadBoxList,
        url,
        now,
        patience,
    };
    let mut answer = call.answer(http.get(url).send()).await?;
    call.json(&mut answer).await
}
