//! A ticket's life: issued, granted once, settled, and told when it comes again.

use gingerpier::{
    base::{Instant, place::Incarnation},
    once::{
        Claims,
        claims::{Settlement, Verdict},
    },
};

fn main() {
    let me = Incarnation(1);
    let now = Instant::from_millis(0);
    let mut claims = Claims::new(me, 42, 600_000);
    let ticket = claims.issue(now);
    println!("issued {ticket}");
    if let Verdict::Granted(grant) = claims.claim(ticket, me, now) {
        println!(
            "granted as number {grant}; a second claim: {:?}",
            claims.claim(ticket, me, now)
        );
        claims.settle(ticket, grant, Settlement::Answered);
    }
    println!("after the answer: {:?}", claims.claim(ticket, me, now));
}
