//! Requests that gateways hold back, since engines ended under them: to list, and to let go again.
//!
//! Any gateway knows them all and tells the others.

use {
    crate::{Error, exit::Exit},
    awc::{Client, ClientRequest},
    gingerpier_base::target::Target,
    std::net::SocketAddr,
};

/// Prints the requests that are held back, one a line.
///
/// # Errors
///
/// Where the gateway does not answer.
pub async fn list(gateway: SocketAddr) -> Result<Exit, Error> {
    let request = Client::default().get(format!("http://{gateway}/held"));
    let (_, text) = send(request, gateway).await?;
    print!("{text}");
    Ok(Exit::Done)
}

/// Lets requests go again whose marks begin with `mark`.
///
/// # Errors
///
/// Where the gateway does not answer.
pub async fn release(gateway: SocketAddr, mark: &str) -> Result<Exit, Error> {
    let target = Target::new("/release").segment(mark);
    let request = Client::default().post(format!("http://{gateway}{target}"));
    let (is_done, text) = send(request, gateway).await?;
    print!("{text}");
    Ok(if is_done { Exit::Done } else { Exit::Refused })
}

async fn send(request: ClientRequest, gateway: SocketAddr) -> Result<(bool, String), Error> {
    let failed = |what: String| Error::NoGateway { gateway, what };
    let mut answer = request
        .send()
        .await
        .map_err(|what| failed(what.to_string()))?;
    let body = answer
        .body()
        .await
        .map_err(|what| failed(what.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok((answer.status().is_success(), text))
}
