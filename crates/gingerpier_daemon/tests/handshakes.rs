//! Links that peers make while another peer's handshake stands still.

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

type Wrong = Box<dyn error::Error>;

/// Far less than the silence after which a handshake is given up.
const PATIENCE: Duration = Duration::from_secs(1);
/// The longest datagram.
const DATAGRAM_BYTES: usize = 64 << 10;

/// Folder of keys, removed at the end.
struct Keys {
    folder: PathBuf,
    authority: Authority,
}

impl Drop for Keys {
    fn drop(&mut self) {
        // What is left lies in the system's folder for such files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Keys {
    fn new() -> Result<Self, Wrong> {
        let folder = env::temp_dir().join(format!("gingerpier-{:016x}", fastrand::u64(..)));
        let authority = Authority::open_or_create(&folder.join("authority"))?;
        Ok(Self { folder, authority })
    }

    fn issue(&self, identity: &Identity) -> Result<PathBuf, Wrong> {
        let folder = self.folder.join(identity.name.to_string());
        self.authority.issue(identity, &folder)?;
        Ok(folder)
    }
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn backend(name: &str) -> Result<Identity, Wrong> {
    let name = name.parse()?;
    let role = Role::Backend;
    Ok(Identity { role, name })
}

fn endpoint(keys: &Path) -> Result<Endpoint, Wrong> {
    Ok(Endpoint::bind(local(), &Credentials::read(keys)?)?)
}

fn process(identity: &Identity, keys: PathBuf) -> Result<Rc<Process>, Wrong> {
    let zone = Zone {
        region: "kerala-south".parse()?,
        name: "trivandrum".parse()?,
    };
    let settings = entry::Identity {
        name: identity.name.clone(),
        zone,
        keys,
    };
    Ok(Rc::new(Process::bind(identity.role, &settings, local())?))
}

/// Connects to `to` with the first datagram, and with nothing after it.
async fn begin_handshake(from: Endpoint, to: SocketAddr, peer: &Identity) -> Result<(), Wrong> {
    let relay = UdpSocket::bind(local()).await?;
    let address = relay.local_addr()?;
    let peer = peer.clone();
    actix_rt::spawn(async move { from.connect(address, &peer).await.map(|_| ()) });
    let mut datagram = vec![0; DATAGRAM_BYTES];
    let length = relay.recv(&mut datagram).await?;
    relay.send_to(&datagram[..length], to).await?;
    // The answer shows that the handshake has begun at the other end.
    relay.recv(&mut datagram).await?;
    Ok(())
}

#[actix_rt::test]
async fn a_peer_that_falls_silent_in_its_handshake_holds_up_nobody() -> Result<(), Wrong> {
    let keys = Keys::new()?;
    let server = backend("trivandrum-b0")?;
    let process = process(&server, keys.issue(&server)?)?;
    let address = process.hello.address.parse()?;
    let (sender, mut served) = mpsc::unbounded_channel::<Name>();
    let serving = process.clone();
    actix_rt::spawn(async move {
        let serve = move |link: gingerpier_link::Link| {
            let sent = sender.send(link.peer().name.clone());
            async move { sent.expect("the test listens") }
        };
        serving.accept(serve).await;
    });

    let silent = endpoint(&keys.issue(&backend("trivandrum-b1")?)?)?;
    begin_handshake(silent, address, &server).await?;

    let other = backend("trivandrum-b2")?;
    let asker = endpoint(&keys.issue(&other)?)?;
    let link = actix_rt::time::timeout(PATIENCE, asker.connect(address, &server)).await??;
    assert_eq!(*link.peer(), server);
    let served = actix_rt::time::timeout(PATIENCE, served.recv()).await?;
    assert_eq!(served, Some(other.name));
    Ok(())
}
