//! Runs one stand-in.

use {
    clap::Parser,
    gingerpier_standins::{box_list, engine, key_value, link, origin, service},
    std::io,
};

#[derive(Parser)]
#[command(about = "Runs one stand-in for a system that gingerpier meets")]
enum Command {
    /// Key-value service.
    KeyValue(key_value::Options),
    /// Origin of weights, or rate-limited weight store.
    Origin(origin::Options),
    /// Model engine.
    Engine(engine::Options),
    /// Plain service.
    Service(service::Options),
    /// List of live and leaving boxes.
    BoxList(box_list::Options),
    /// Forwarding link that can be cut, stalled and slowed.
    Link(link::Options),
}

fn main() -> io::Result<()> {
    let command = Command::parse();
    actix_rt::System::new().block_on(async {
        match command {
            Command::KeyValue(options) => key_value::run(options).await,
            Command::Origin(options) => origin::run(options).await,
            Command::Engine(options) => engine::run(options).await,
            Command::Service(options) => service::run(options).await,
            Command::BoxList(options) => box_list::run(options).await,
            Command::Link(options) => link::run(options).await,
        }
    })
}
