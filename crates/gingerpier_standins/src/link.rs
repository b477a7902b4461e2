//! Forwarding link, for TCP or UDP, that can be cut, stalled and slowed.
//!
//! Control, on an address of its own: `POST /control` with `state` (`open`; `cut`: TCP connections
//! are closed and datagrams dropped; `stalled`: nothing passes and nothing is closed),
//! `delay_millis`, and `loss_percent` (datagrams dropped).

use {
    actix_http::Request,
    actix_rt::time::sleep,
    gingerpier_http::{Answer, Listener, answer, body},
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
    },
};

const BUFFER_BYTES: usize = 64 << 10;
const CHECK_EVERY: Duration = Duration::from_millis(20);

/// What passes through the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Transport {
    Tcp,
    Udp,
}

/// How the stand-in starts.
#[derive(clap::Args)]
pub struct Options {
    /// What passes.
    #[arg(long)]
    transport: Transport,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address to forward to.
    #[arg(long)]
    to: SocketAddr,
    /// Address for control.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
}

/// Whether anything passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Passage {
    /// Everything passes.
    #[default]
    Open,
    /// Nothing passes, and connections are closed.
    Cut,
    /// Nothing passes, and nothing is closed.
    Stalled,
}

/// How the link behaves.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Whether anything passes.
    pub state: Passage,
    /// Milliseconds by which everything is late.
    pub delay_millis: u64,
    /// Datagrams dropped, in percent.
    pub loss_percent: u32,
}

type Shared = Rc<RefCell<Control>>;

/// Runs the stand-in.
///
/// # Errors
///
/// Where an address is taken.
pub async fn run(options: Options) -> io::Result<()> {
    let control = Listener::bind(options.control)?;
    let control_address = control.address();
    let shared = Shared::default();
    let controlled = shared.clone();
    let serving = control.serve(move |request| handle(controlled.clone(), request));
    actix_rt::spawn(serving);
    match options.transport {
        Transport::Tcp => {
            let listener = TcpListener::bind(options.listen).await?;
            println!(
                "ready address={} control={control_address}",
                listener.local_addr()?
            );
            forward_tcp(listener, options.to, shared).await
        }
        Transport::Udp => {
            let socket = UdpSocket::bind(options.listen).await?;
            println!(
                "ready address={} control={control_address}",
                socket.local_addr()?
            );
            forward_udp(Rc::new(socket), options.to, shared).await
        }
    }
}

async fn handle(shared: Shared, mut request: Request) -> Answer {
    match body::json(&mut request, crate::LONGEST_BODY).await {
        Ok(control) => {
            *shared.borrow_mut() = control;
            answer::empty(204)
        }
        Err(error) => answer::text(error.status(), &error.to_string()),
    }
}

async fn forward_tcp(listener: TcpListener, to: SocketAddr, shared: Shared) -> io::Result<()> {
    loop {
        let (from, _) = listener.accept().await?;
        let shared = shared.clone();
        actix_rt::spawn(async move {
            if shared.borrow().state == Passage::Cut {
                return;
            }
            let Ok(to) = TcpStream::connect(to).await else {
                return;
            };
            let (from_read, from_write) = from.into_split();
            let (to_read, to_write) = to.into_split();
            let there = pump(from_read, to_write, shared.clone());
            let back = pump(to_read, from_write, shared.clone());
            let cut = async {
                while shared.borrow().state != Passage::Cut {
                    sleep(CHECK_EVERY).await;
                }
            };
            futures_util::pin_mut!(there, back, cut);
            let both = futures_util::future::join(there, back);
            futures_util::pin_mut!(both);
            futures_util::future::select(both, cut).await;
        });
    }
}

async fn pump<R, W>(mut from: R, mut to: W, shared: Shared)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        pass(&shared).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

async fn pass(shared: &Shared) {
    let delay = shared.borrow().delay_millis;
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    while shared.borrow().state == Passage::Stalled {
        sleep(CHECK_EVERY).await;
    }
}

fn drops(shared: &Shared) -> bool {
    let control = shared.borrow();
    control.state != Passage::Open || fastrand::u32(..100) < control.loss_percent
}

async fn forward_udp(socket: Rc<UdpSocket>, to: SocketAddr, shared: Shared) -> io::Result<()> {
    let mut flows: BTreeMap<SocketAddr, Rc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if drops(&shared) {
            continue;
        }
        let flow = match flows.get(&from) {
            Some(flow) => flow.clone(),
            None => {
                let flow = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
                flow.connect(to).await?;
                flows.insert(from, flow.clone());
                actix_rt::spawn(send_back(
                    flow.clone(),
                    socket.clone(),
                    from,
                    shared.clone(),
                ));
                flow
            }
        };
        send_late(flow, None, buffer[..length].to_vec(), &shared).await;
    }
}

async fn send_back(flow: Rc<UdpSocket>, socket: Rc<UdpSocket>, to: SocketAddr, shared: Shared) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match flow.recv(&mut buffer).await {
            Ok(_) if drops(&shared) => {}
            Ok(length) => {
                send_late(socket.clone(), Some(to), buffer[..length].to_vec(), &shared).await;
            }
            // The process at the other end is not there now; it may come back.
            Err(_) => sleep(CHECK_EVERY).await,
        }
    }
}

async fn send_late(
    socket: Rc<UdpSocket>,
    to: Option<SocketAddr>,
    datagram: Vec<u8>,
    shared: &Shared,
) {
    let delay = shared.borrow().delay_millis;
    let send = async move {
        let _ = match to {
            Some(to) => socket.send_to(&datagram, to).await,
            None => socket.send(&datagram).await,
        };
    };
    if delay == 0 {
        send.await;
        return;
    }
    actix_rt::spawn(async move {
        sleep(Duration::from_millis(delay)).await;
        send.await;
    });
}
