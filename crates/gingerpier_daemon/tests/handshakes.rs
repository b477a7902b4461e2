//! Links that are established while another peer's handshake is unfinished.

use {
    gingerpier_base::{
        Name,
        place::{Role, Zone},
    },
    gingerpier_daemon::process::Process,
    gingerpier_link::{Authority, Credentials, Endpoint, Identity},
    gingerpier_settings::entry,
    std::{
        env, error, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::mpsc},
};

type TestError = Box<dyn error::Error>;

/// Well below the timeout of a handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Temporary directory with keys; removed on drop.
struct TestKeys {
    folder: PathBuf,
    authority: Authority,
}

impl Drop for TestKeys {
    fn drop(&mut self) {
        // Remaining files are in the system's directory for temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl TestKeys {
    fn new() -> Result<Self, TestError> {
        let folder = env::temp_dir().join(format!("gingerpier-{:016x}", fastrand::u64(..)));
        let authority = Authority::open_or_create(&folder.join("authority"))?;
        Ok(Self { folder, authority })
    }

    fn issue(&self, identity: &Identity) -> Result<PathBuf, TestError> {
        let folder = self.folder.join(identity.name.to_string());
        self.authority.issue(identity, &folder)?;
        Ok(folder)
    }
}

fn local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn backend_identity(name: &str) -> Result<Identity, TestError> {
    let name = name.parse()?;
    let role = Role::Backend;
    Ok(Identity { role, name })
}

fn endpoint(keys: &Path) -> Result<Endpoint, TestError> {
    Ok(Endpoint::bind(local_address(), &Credentials::read(keys)?)?)
}

fn start_process(identity: &Identity, keys: PathBuf) -> Result<Rc<Process>, TestError> {
    let zone = Zone {
        region: "kerala-south".parse()?,
        name: "trivandrum".parse()?,
    };
    let settings = entry::Identity {
        name: identity.name.clone(),
        zone,
        keys,
    };
    Ok(Rc::new(Process::bind(
        identity.role,
        &settings,
        local_address(),
    )?))
}

/// Sends the first datagram of a handshake to `server_address`, and nothing after it.
async fn start_handshake(
    client: Endpoint,
    server_address: SocketAddr,
    peer: &Identity,
) -> Result<(), TestError> {
    let socket = UdpSocket::bind(local_address()).await?;
    let socket_address = socket.local_addr()?;
    let peer = peer.clone();
    actix_rt::spawn(async move { client.connect(socket_address, &peer).await.map(|_| ()) });
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let length = socket.recv(&mut datagram).await?;
    socket.send_to(&datagram[..length], server_address).await?;
    // The response shows that the server has started the handshake.
    socket.recv(&mut datagram).await?;
    Ok(())
}

#[actix_rt::test]
async fn an_unfinished_handshake_does_not_block_other_peers() -> Result<(), TestError> {
    let keys = TestKeys::new()?;
    let server_identity = backend_identity("trivandrum-b0")?;
    let process = start_process(&server_identity, keys.issue(&server_identity)?)?;
    let server_address = process.hello.address.parse()?;
    let (sender, mut links) = mpsc::unbounded_channel::<Name>();
    let accepting = process.clone();
    actix_rt::spawn(async move {
        let serve = move |link: gingerpier_link::Link| {
            let result = sender.send(link.peer().name.clone());
            async move { result.expect("the receiver lives until the end of the test") }
        };
        accepting.accept(serve).await;
    });

    let stalled_client = endpoint(&keys.issue(&backend_identity("trivandrum-b1")?)?)?;
    start_handshake(stalled_client, server_address, &server_identity).await?;

    let client_identity = backend_identity("trivandrum-b2")?;
    let client = endpoint(&keys.issue(&client_identity)?)?;
    let link = actix_rt::time::timeout(
        CONNECT_TIMEOUT,
        client.connect(server_address, &server_identity),
    )
    .await??;
    assert_eq!(*link.peer(), server_identity);
    let linked_peer = actix_rt::time::timeout(CONNECT_TIMEOUT, links.recv()).await?;
    assert_eq!(linked_peer, Some(client_identity.name));
    Ok(())
}
