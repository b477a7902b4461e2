//! Rendezvous order: the same order over the same members at every process, without talk.
//!
//! Each member is scored by a hash of the subject and the member; removing a member leaves the
//! order of the others as it was.

use std::hash::{Hash, Hasher};

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with a final mix; the same on every machine and in every version of this crate.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        mix(self.0)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
}

/// Scrambles `value` so that every input bit reaches every output bit.
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// Stable hash of `value`.
pub fn hash<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = Fnv(OFFSET);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Score of `member` for `subject`; the highest comes first.
pub fn score(subject: u64, member: u64) -> u64 {
    mix(subject ^ mix(member))
}

/// Sorts `members` by their score for `subject`, highest first.
pub fn sort_by_score<T, F>(subject: u64, members: &mut [T], key: F)
where
    F: Fn(&T) -> u64,
{
    members.sort_by_key(|member| std::cmp::Reverse(score(subject, key(member))));
}
