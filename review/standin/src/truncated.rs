//! Case 2: a gateway freezes while an engine, whose answer has no length, crashes and is back
//! before the gateway wakes.

use {
    crate::{
        http::{ask, respond, serve, Answer, Request},
        rig::{
            has_trouble, models, prompt_fields, request, Outcome, Process, Record, Rig, Verdict,
            ENGINES, GALLERY, SIGCONT, SIGSTOP,
        },
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        process::Command,
        thread::sleep,
        time::{Duration, Instant},
    },
};

const EVENTS: u32 = 20;
const EVENT_GAP: Duration = Duration::from_millis(100);
const PARTS: u32 = 8;
const PART_GAP: Duration = Duration::from_millis(50);

/// Part of a body that is not a stream.
fn part(number: u32) -> String {
    format!("part {number} of {PARTS} {}\n", "-".repeat(85))
}

fn whole_body() -> String {
    (1..=PARTS).map(part).collect()
}

/// Runs an engine as a process: `engine ADDRESS ID VERSION`.
pub fn run_engine(arguments: &[String]) -> Result<(), String> {
    let [address, id, version] = arguments else {
        return Err("engine ADDRESS ID VERSION".to_owned());
    };
    let address: SocketAddr = address.parse().map_err(|_| "no address")?;
    let version: u64 = version.parse().map_err(|_| "no version")?;
    let id = id.clone();
    serve(address, move |request, stream| {
        handle(&id, version, request, stream)
    })
    .map_err(|error| error.to_string())?;
    println!("listening");
    loop {
        sleep(Duration::from_secs(60));
    }
}

fn handle(id: &str, version: u64, request: &Request, stream: &mut TcpStream) -> bool {
    if request.path() == "/healthz" {
        return respond(stream, 200, &format!("Instance-Id: {id}\r\n"), b"");
    }
    if request.path() == "/api/report" {
        let body = format!(
            r#"{{"phase":"colocated","models":{},"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":5072000,"sessions":0}}"#,
            models(version)
        );
        return respond(
            stream,
            200,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        );
    }
    let Some(attempt) = request.field("attempt-id").map(str::to_owned) else {
        return respond(stream, 400, "Not-Executed: 1\r\n", b"");
    };
    let echo = format!("Attempt-Id: {attempt}\r\n");
    if request
        .field("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        return respond(stream, 421, &format!("{echo}Instance-Id: {id}\r\n"), b"");
    }
    let is_stream = request.path().starts_with("/summary/");
    if is_stream && version == 0 {
        return respond(stream, 421, &format!("{echo}Instance-Id: {id}\r\n"), b"");
    }
    let last: u32 = request
        .field("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    println!("run {attempt} {} after {last}", request.target);
    // No length and no chunks: the answer ends along with its connection.
    let kind = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}Server-Seal: seal-{id}\r\nWeight-Versions: {version}\r\n\
         Content-Type: {kind}\r\nConnection: close\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    let pieces: Vec<(u32, String, Duration)> = match is_stream {
        true => (last + 1..=EVENTS)
            .map(|n| {
                (
                    n,
                    format!("id: {n}\ndata: piece {n} of {EVENTS}\n\n"),
                    EVENT_GAP,
                )
            })
            .collect(),
        false => (1..=PARTS).map(|n| (n, part(n), PART_GAP)).collect(),
    };
    for (number, piece, gap) in pieces {
        if stream.write_all(piece.as_bytes()).is_err() {
            println!("left {attempt}");
            return false;
        }
        println!("sent {attempt} {number}");
        sleep(gap);
    }
    println!("ended {attempt}");
    false
}

struct EngineProcess {
    id: String,
    address: SocketAddr,
    service: &'static str,
    process: Process,
}

fn start_engine(
    rig: &Rig,
    id: &str,
    service: &'static str,
    address: SocketAddr,
    version: u64,
) -> Result<EngineProcess, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut command = Command::new(program);
    command.args(["engine", &address.to_string(), id, &version.to_string()]);
    let process = Process::start(&mut command, &rig.folder.join(format!("{id}.log")));
    let process = process.map_err(|error| error.to_string())?;
    let first = process.lines.recv_timeout(Duration::from_secs(5));
    if first.as_deref() != Ok("listening") {
        return Err(format!("engine {id} did not start"));
    }
    rig.entries.add(id, service, address, &models(version));
    rig.record
        .line(format_args!("engine {id} ({service}) starts at {address}"));
    Ok(EngineProcess {
        id: id.to_owned(),
        address,
        service,
        process,
    })
}

/// Index of the engine that has sent piece `number` of the attempt.
fn wait_for_piece(
    engines: &[EngineProcess],
    record: &Record,
    attempt: &str,
    number: u32,
) -> Result<usize, String> {
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        for (index, engine) in engines.iter().enumerate() {
            while let Ok(line) = engine.process.lines.try_recv() {
                record.line(format_args!("engine {}: {line}", engine.id));
                if line == format!("sent {attempt} {number}") {
                    return Ok(index);
                }
            }
        }
        sleep(Duration::from_millis(2));
    }
    Err(format!("no engine ran {attempt}"))
}

/// What a client is owed and whether what it got breaks a rule.
fn judge(record: &Record, attempt: &str, is_stream: bool, answer: &Answer) -> Option<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids: Vec<u32> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    let expected: Vec<u32> = (1..=EVENTS).collect();
    let is_right = match is_stream {
        true => ids == expected,
        false => text == whole_body(),
    };
    record.line(format_args!(
        "client {attempt}: status {}, signature {:?}, {} bytes, events {ids:?}, ended as complete: {}, body whole: {is_right}",
        answer.status,
        answer.field("server-seal"),
        answer.body.len(),
        answer.is_whole,
    ));
    if answer.is_whole_success() && !is_right {
        let rule = if is_stream { "ORDER" } else { "MIXED" };
        return Some(format!(
            "{rule}: {attempt} got a success that ends as complete, and its body is not the engine's whole body"
        ));
    }
    None
}

pub fn run(record: Record) -> Outcome {
    let trouble = has_trouble();
    let rig = Rig::start(record)?;
    let at = |machine: u8| SocketAddr::from((rig.machine(machine), 8001));
    let mut engines = vec![
        start_engine(&rig, "i-model-a", ENGINES, at(11), 1)?,
        start_engine(&rig, "i-model-b", ENGINES, at(12), 1)?,
        start_engine(&rig, "i-gallery-a", GALLERY, at(13), 0)?,
        start_engine(&rig, "i-gallery-b", GALLERY, at(14), 0)?,
    ];
    let (gateway, process) = rig.start_gateway(1)?;
    rig.watch();
    sleep(Duration::from_millis(1_500));
    let mut broken = Vec::new();
    let kinds = [
        (
            "summary",
            "POST",
            6_000,
            3,
            Duration::from_millis(500),
            Duration::from_millis(300),
        ),
        (
            "record",
            "GET",
            4_000,
            2,
            Duration::from_millis(1_000),
            Duration::from_millis(300),
        ),
        (
            "thumb",
            "POST",
            4_000,
            2,
            Duration::from_millis(1_000),
            Duration::from_millis(300),
        ),
    ];
    let mut incarnation = 0;
    for (kind, method, deadline, piece, down, after) in kinds {
        let attempt = format!("attempt-{kind}");
        let fields = if kind == "summary" {
            prompt_fields()
        } else {
            String::new()
        };
        let bytes = request(
            method,
            &format!("/{kind}/1"),
            &attempt,
            deadline,
            &fields,
            "a body",
        );
        rig.record.line(format_args!(
            "client {attempt}: {method} /{kind}/1 to {gateway}"
        ));
        let client =
            std::thread::spawn(move || ask(gateway, &bytes, Duration::from_millis(deadline)));
        let index = wait_for_piece(&engines, &rig.record, &attempt, piece)?;
        if trouble {
            process.signal(SIGSTOP);
            rig.record.line("the gateway freezes");
            let EngineProcess {
                id,
                address,
                service,
                ..
            } = &engines[index];
            let (id, address, service) = (id.clone(), *address, *service);
            engines[index].process.kill();
            rig.entries.crash(&id);
            rig.record.line(format_args!("engine {id} crashes"));
            sleep(down);
            incarnation += 1;
            engines[index] =
                start_engine(&rig, &format!("{id}-{incarnation}"), service, address, 0)?;
            sleep(after);
            process.signal(SIGCONT);
            rig.record.line("the gateway wakes");
        }
        let answer = client.join().map_err(|_| "the client failed")?;
        let is_stream = kind == "summary";
        let finding = judge(&rig.record, &attempt, is_stream, &answer);
        if !trouble && !(answer.is_whole_success() && finding.is_none()) {
            return Err(format!("{attempt} was not served without trouble"));
        }
        for engine in &engines {
            for line in engine.process.lines.try_iter() {
                rig.record
                    .line(format_args!("engine {}: {line}", engine.id));
            }
        }
        broken.extend(finding);
        sleep(Duration::from_millis(500));
    }
    for finding in &broken {
        rig.record.line(finding);
    }
    Ok(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
