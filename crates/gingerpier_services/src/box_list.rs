//! Client of the platform's list of alive and leaving boxes, which may be out of date.

use {
    crate::{error::Error, error::Step, http::CallContext},
    awc::Client as Http,
    gingerpier_base::{Instant, Name},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Contents of the box list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Listed {
    /// Listed boxes.
    pub boxes: Vec<Entry>,
}

/// Entry of one box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the box.
    pub name: Name,
    /// Role of its process: `entry` or `backend`.
    pub role: String,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address of its process for links.
    pub address: String,
    /// True if the box is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// Fetches the list at `url`.
///
/// # Errors
///
/// Returns an error if the list cannot be fetched or decoded.
pub async fn read(
    http: &Http,
    url: &str,
    timeout: Duration,
    now: Instant,
) -> Result<Listed, Error> {
    let call = CallContext {
        step: Step::ReadBoxList,
        url,
        now,
        timeout,
    };
    let mut response = call.answer(http.get(url).send()).await?;
    call.json(&mut response).await
}
