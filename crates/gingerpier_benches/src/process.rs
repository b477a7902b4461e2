//! What a process has used, by the system's own account.

use std::fs;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// Ticks of processor time in a second.
const TICKS: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub seconds: f64,
    /// Resident memory, in bytes.
    pub resident: u64,
}

/// Usage of the process `id`.
pub fn usage(id: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name in the second field may hold anything; fields are counted behind it.
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let field = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Usage {
        seconds: (field(11) + field(12)) as f64 / TICKS,
        resident: field(21) * PAGE_BYTES,
    }
}
