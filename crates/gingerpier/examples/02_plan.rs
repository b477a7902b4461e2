//! Who takes which chunk from whom, in two zones of three replicas.

use gingerpier::{
    base::order,
    weights::{
        Plan,
        plan::{Replica, ReplicaKey},
    },
};

fn main() {
    let replica = |index: u64| Replica {
        identity: order::mix(index),
        region: 1,
        zone: index / 3,
    };
    let replicas: Vec<Replica> = (0..6).map(replica).collect();
    let plan = Plan::new(order::hash("version"), &replicas, 2);
    let mut sources = Vec::new();
    for chunk in 0..3 {
        for key in 0..6 {
            plan.sources(ReplicaKey(key), chunk, &mut sources);
            println!("chunk {chunk}, replica {key}: first from {:?}", sources[0]);
        }
    }
}
