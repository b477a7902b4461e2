//! Case 3: a client reads its answer slowly, so that the gateway's time for the request ends while
//! the answer is being written.

use {
    crate::{
        http::{respond, serve, Answer, Request},
        rig::{has_trouble, models, request, Outcome, Record, Rig, Verdict, GALLERY},
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        os::fd::FromRawFd,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Length of the answer with which a first client finds out how much is written to one that does
/// not read; the longest that a gateway buffers as a whole.
const PROBE_LENGTH: usize = 65_536;

/// What is written to a client that does not read where the probe has not told it.
const USUAL_WRITTEN: usize = 18_432;

/// Lengths of the other answers, beyond what is written to a client that does not read.
const FURTHER: [usize; 8] = [8, 16, 24, 32, 40, 48, 56, 64];

/// Receive buffer of a slow reader, in bytes.
const RECEIVE_BUFFER: i32 = 4_096;

/// Time for which a slow reader reads nothing.
const PAUSE: Duration = Duration::from_millis(2_800);

/// Time that the client waits for its answer.
const DEADLINE_MILLIS: u64 = 4_000;

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

/// Connects with a small receive buffer, so that few bytes wait for a client that does not read.
fn connect_slow_reader(to: SocketAddr) -> Option<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(to) = to else { return None };
    let address = SocketAddressV4 {
        family: AF_INET as u16,
        port: to.port().to_be(),
        address: u32::from_ne_bytes(to.ip().octets()),
        zero: [0; 8],
    };
    // SAFETY: the arguments are as the calls need them, and the socket belongs to the stream alone.
    unsafe {
        let socket = socket(AF_INET, SOCK_STREAM, 0);
        let size = size_of::<i32>() as u32;
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, size);
        let stream = TcpStream::from_raw_fd(socket);
        let length = size_of::<SocketAddressV4>() as u32;
        (connect(socket, &address, length) == 0).then_some(stream)
    }
}

/// Body of a length; each line tells where it is.
fn body(length: usize) -> Vec<u8> {
    let lines = (0..).map(|line| format!("line {line:06} of the record\n"));
    let text: String = lines.take(length / 20 + 1).collect();
    text.into_bytes()[..length].to_vec()
}

fn handle(record: &Record, id: &str, request: &Request, stream: &mut TcpStream) -> bool {
    let Some(attempt) = request.field("attempt-id") else {
        let status = if request.path() == "/healthz" {
            200
        } else {
            404
        };
        return respond(stream, status, &format!("Instance-Id: {id}\r\n"), b"");
    };
    let echo = format!("Attempt-Id: {attempt}\r\n");
    if request
        .field("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        return respond(stream, 421, &format!("{echo}Instance-Id: {id}\r\n"), b"");
    }
    let length = request
        .path()
        .rsplit('/')
        .next()
        .and_then(|text| text.parse().ok());
    let length = length.unwrap_or(800);
    record.line(format_args!(
        "engine {id}: runs {attempt}, answers 200 with {length} bytes"
    ));
    let fields = format!("{echo}Server-Seal: seal-{id}\r\n");
    respond(stream, 200, &fields, &body(length))
}

struct Received {
    attempt: String,
    length: usize,
    bytes: Vec<u8>,
}

fn run_client(
    record: &Record,
    gateway: SocketAddr,
    length: usize,
    pauses: bool,
) -> Option<Received> {
    let attempt = format!("attempt-{length}");
    let bytes = request(
        "GET",
        &format!("/record/{length}"),
        &attempt,
        DEADLINE_MILLIS,
        "",
        "",
    );
    let mut stream = connect_slow_reader(gateway)?;
    let deadline = Instant::now() + Duration::from_millis(DEADLINE_MILLIS);
    stream.write_all(&bytes).ok()?;
    record.line(format_args!("client {attempt}: GET /record/{length}"));
    if pauses {
        sleep(PAUSE);
        record.line(format_args!("client {attempt}: begins to read"));
    }
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    Some(Received {
        attempt,
        length,
        bytes: received,
    })
}

/// Number of bytes of the body that are the engine's, and what breaks a rule.
fn judge(record: &Record, received: &Received) -> (usize, Option<String>) {
    let Received {
        attempt,
        length,
        bytes,
    } = received;
    let Some((answer, taken)) = Answer::parse(bytes) else {
        record.line(format_args!(
            "client {attempt}: {} bytes, no answer",
            bytes.len()
        ));
        return (0, None);
    };
    let expected = body(*length);
    let same = answer
        .body
        .iter()
        .zip(&expected)
        .take_while(|(got, sent)| got == sent)
        .count();
    let is_right = answer.body == expected;
    let strange = &answer.body[same..];
    record.line(format_args!(
        "client {attempt}: status {}, signature {:?}, {} of {length} bytes, ended as complete: {}, the first {same} are the engine's, then {:?}, behind the answer {:?}",
        answer.status,
        answer.field("server-seal"),
        answer.body.len(),
        answer.is_whole,
        String::from_utf8_lossy(&strange[..strange.len().min(120)]),
        String::from_utf8_lossy(&bytes[taken..]),
    ));
    if answer.is_whole_success() && !is_right {
        let finding = format!(
            "MIXED: {attempt} got a signed success whose last {} bytes are not the engine's",
            strange.len()
        );
        return (same, Some(finding));
    }
    (same, None)
}

pub fn run(record: Record) -> Outcome {
    let trouble = has_trouble();
    let rig = Rig::start(record)?;
    for (number, id) in [(13, "i-gallery-a"), (14, "i-gallery-b")] {
        let address = SocketAddr::from((rig.machine(number), 8001));
        let record = rig.record.clone();
        serve(address, move |request, stream| {
            handle(&record, id, request, stream)
        })
        .map_err(|error| error.to_string())?;
        rig.entries.add(id, GALLERY, address, &models(0));
    }
    let (gateway, _process) = rig.start_gateway(1)?;
    rig.watch();
    sleep(Duration::from_millis(1_500));
    let mut broken = Vec::new();
    let probe = ask_all(&rig.record, gateway, &[PROBE_LENGTH], trouble, &mut broken)?;
    let written = probe
        .first()
        .copied()
        .filter(|_| trouble)
        .unwrap_or(USUAL_WRITTEN);
    rig.record.line(format_args!(
        "{written} bytes of the body came before anything else"
    ));
    let lengths = FURTHER.map(|more| (written + more).min(PROBE_LENGTH));
    ask_all(&rig.record, gateway, &lengths, trouble, &mut broken)?;
    for finding in &broken {
        rig.record.line(finding);
    }
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Has a client ask for each length; returns how many bytes of each body were the engine's.
fn ask_all(
    record: &Record,
    gateway: SocketAddr,
    lengths: &[usize],
    trouble: bool,
    broken: &mut Vec<String>,
) -> Result<Vec<usize>, String> {
    let clients: Vec<_> = lengths
        .iter()
        .map(|length| {
            let (record, length) = (record.clone(), *length);
            let client = std::thread::spawn(move || run_client(&record, gateway, length, trouble));
            // Few requests run at a time.
            sleep(Duration::from_millis(60));
            client
        })
        .collect();
    let mut right = Vec::new();
    for client in clients {
        let received = client
            .join()
            .ok()
            .flatten()
            .ok_or("a client could not connect")?;
        let (same, finding) = judge(record, &received);
        let answer = Answer::parse(&received.bytes);
        let is_served = answer.is_some_and(|(answer, _)| answer.is_whole_success());
        if !trouble && !(is_served && finding.is_none()) {
            return Err(format!(
                "{} was not served without trouble",
                received.attempt
            ));
        }
        broken.extend(finding);
        right.push(same);
    }
    Ok(right)
}
